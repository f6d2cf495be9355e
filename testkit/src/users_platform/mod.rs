//! Stand-ins for the users' platform as seen over the network: its store, engines and plain
//! services with injected faults, its clients, and a fleet of real ingress and sidecar
//! processes between them.

mod backend_responses;
mod backend_stand_in;
mod backend_streams;
mod client;
mod crash_moment;
mod crowd;
mod endless_responses;
mod engine_orders;
mod entry_pages;
mod fleet;
mod other_ingress;
mod prompts;
mod retry_windows;
mod retrying_clients;
mod store_stand_in;
mod wire;

pub use {
    backend_stand_in::{
        max_requests_in_window, BackendFault, BackendKind, BackendStandIn, CutKind, Run,
        StreamFault, DEFAULT_EVENT_COUNT, FIRST_START_TIME_MS, LIMIT_GRACE, LIMIT_WINDOW,
    },
    client::{open_stream, request, send_on, ClientRequest, ClientResponse, OpenStream},
    crash_moment::{CausedCrash, CrashMoment},
    crowd::{send_crowd, Crowd, CrowdAttempt, CrowdRequest},
    endless_responses::EndlessPart,
    engine_orders::{AcceptedOrder, ADAPTER_SLOTS, MODEL},
    entry_pages::metrics_text,
    fleet::{Fleet, FleetSettings, HOST},
    other_ingress::OtherIngress,
    prompts::{engine_runs, prompt, prompt_with_parts, serve_prompt},
    retry_windows::{RetryRule, RetryWindow},
    retrying_clients::{send_with_retries, AttemptHistory, RetryingClients},
    store_stand_in::{LostWrites, StoreCopy, StoreFault, StoreLimits, StoreStandIn},
    wire::{read_head, Head},
};
