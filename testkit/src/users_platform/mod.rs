//! stand-ins for the users' platform, met over the wire: its store, its
//! engines and plain services with their faults, clients, and a fleet of our
//! real processes between them

mod backend_answers;
mod backend_stand_in;
mod client;
mod engine_orders;
mod fleet;
mod pressing_clients;
mod prompts;
mod store_stand_in;
mod wire;

pub use {
    backend_stand_in::{
        allowed_by_limit, BackendFault, BackendKind, BackendStandIn, Run, CONTACT, FIRST_BORN,
        LIMIT_WINDOW,
    },
    client::{open_stream, request, send_on, Answer, ClientRequest, OpenStream},
    engine_orders::{TakenOrder, ADAPTER_SLOTS, MODEL},
    fleet::{metrics_text, Fleet, FleetSettings, OtherIngress, HOST},
    pressing_clients::{press, Pressing, Story},
    prompts::{engine_runs, prompt, serve_prompt},
    store_stand_in::{StoreFault, StoreStandIn},
    wire::{read_head, Head},
};
