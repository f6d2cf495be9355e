use {super::Documents, chalkcart_state::config::Policy};

/// Size and configuration of one user's fleet.
#[derive(Debug, Clone)]
pub struct UserSize {
    pub name: &'static str,
    pub zones: Vec<&'static str>,
    pub documents: Documents,
    /// Number of engines by base model.
    pub engines: Vec<(&'static str, usize)>,
    pub service: &'static str,
    pub services: usize,
    pub adapters: usize,
    /// Adapters are named `PREFIX-N`.
    pub prefix: &'static str,
    pub group: &'static str,
    pub class: &'static str,
    pub store_at_once: u32,
}

const ADAPTERS: usize = 5_000;
const SHARDS: usize = 16;

/// Returns the fleet of the calculator head office: 12 loan-assistant engines, 3 till services.
pub fn head_office() -> UserSize {
    let documents = Documents::new(SHARDS)
        .with_group("branches", 1)
        .with_base_model("loan-assistant")
        .with_base_model("loan-assistant-small")
        .with_service("till", 8, true)
        .with_service("fee-table", 8, false)
        .with_policy(Policy {
            store_loads_at_once: 2,
            batch_ahead_tokens: 500,
            ..Policy::default()
        })
        .with_adapters("branch", ADAPTERS, "branches", "loan-assistant");
    UserSize {
        name: "head-office",
        zones: vec!["posta", "kariakoo", "mikocheni"],
        documents,
        engines: vec![("loan-assistant", 12)],
        service: "till",
        services: 3,
        adapters: ADAPTERS,
        prefix: "branch",
        group: "branches",
        class: "counter",
        store_at_once: 2,
    }
}

/// Returns the fleet of the invoice financier: 12 invoice-reading engines, 4 advance desks.
pub fn trentside() -> UserSize {
    let documents = Documents::new(SHARDS)
        .with_group("clients", 1)
        .with_base_model("invoice-reading")
        .with_base_model("advance-desk")
        .with_service("advance", 8, false)
        .with_policy(Policy {
            store_loads_at_once: 10,
            batch_ahead_tokens: 8_000,
            ..Policy::default()
        })
        .with_adapters("client", ADAPTERS, "clients", "invoice-reading");
    UserSize {
        name: "trentside",
        zones: vec!["derby-a", "derby-b", "nottm-a", "nottm-b"],
        documents,
        engines: vec![("invoice-reading", 12)],
        service: "advance",
        services: 4,
        adapters: ADAPTERS,
        prefix: "client",
        group: "clients",
        class: "sameday",
        store_at_once: 10,
    }
}
