//! checks of callers' requests against the configuration

use {
    crate::{app::Shared, traffic::Job},
    chalkcart_coordination::routing::{can_serve, TargetRequirement},
    chalkcart_protocol::{
        peer::{CallWork, GenerateWork, Outcome, Reason, Refusal, Step, Work},
        status::{bad_field, to_status},
        v1::{CallRequest, GenerateRequest},
    },
    chalkcart_state::{
        config::{Configuration, ResolvedAdapter},
        ids::{ClassName, GroupName, ReservedId},
    },
    chalkcart_transport::{clock, server::pages::ProcessStatus},
    std::{sync::Arc, time::Duration},
    tonic::Status,
};

/// tokens that one request may ask for
const MAX_TOKENS: u32 = 8_192;
/// bytes of a prompt or a body
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// when to come back to an entry that is not ready
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// what can be said of a request that was refused here.
///
/// With a reserved id an earlier copy may have run through another entry, so
/// only the target may say `NOT_RUN`.
#[derive(Clone, Copy)]
pub struct Admission<'a> {
    shared: &'a Shared,
    outcome: Outcome,
}

/// what each request of a caller says beside its work
struct Terms {
    group: GroupName,
    class: ClassName,
    /// 0 takes the class's own
    timeout_ms: u32,
    not_repeatable: bool,
    reserved_id: String,
}

impl<'a> Admission<'a> {
    pub fn new(shared: &'a Shared, reserved_id: &str) -> Self {
        let outcome = match reserved_id.is_empty() {
            true => Outcome::NotRun,
            false => Outcome::MayHaveRun,
        };
        Self { shared, outcome }
    }

    pub fn bad(&self, field: &str, description: &str) -> Status {
        bad_field(self.outcome, &self.shared.settings.name, field, description)
    }

    pub fn configuration(&self) -> Result<Arc<Configuration>, Status> {
        let found = self.shared.keeper.configuration();
        found.filter(|_| self.shared.is_ready()).ok_or_else(|| {
            let name = &self.shared.settings.name;
            let refusal = Refusal::new(self.outcome, Step::Admission, name, Reason::Leaving)
                .with_detail("this entry is starting or stopping")
                .with_retry_after(NOT_READY_RETRY);
            to_status(&refusal)
        })
    }

    pub fn resolve(
        &self,
        configuration: &Configuration,
        group: &str,
        adapter: &str,
        version: u32,
    ) -> Result<ResolvedAdapter, Status> {
        self.check_group(configuration, group)?;
        let Some(found) = configuration.adapter(adapter) else {
            return Err(self.bad("adapter", "not a known adapter"));
        };
        if found.group != group {
            return Err(self.bad("adapter", "not an adapter of the group"));
        }
        let resolved = configuration.resolve(adapter, version);
        resolved.ok_or_else(|| self.bad("version", "not a version of the adapter"))
    }

    pub fn check_group(&self, configuration: &Configuration, group: &str) -> Result<(), Status> {
        match configuration.group(group) {
            Some(_) => Ok(()),
            None => Err(self.bad("group", "not a known group")),
        }
    }

    pub async fn generate(&self, req: GenerateRequest) -> Result<Job, Status> {
        let configuration = self.configuration()?;
        let resolved = self.resolve(&configuration, &req.group, &req.adapter, req.version)?;
        if req.prompt.is_empty() || req.prompt.len() > MAX_BODY_BYTES {
            return Err(self.bad("prompt", "expected 1 to 1048576 bytes"));
        }
        if req.max_tokens == 0 || req.max_tokens > MAX_TOKENS {
            return Err(self.bad("max_tokens", "expected 1 to 8192"));
        }
        let terms = Terms {
            group: req.group,
            class: req.class,
            timeout_ms: req.timeout_ms,
            not_repeatable: req.not_repeatable,
            reserved_id: req.reserved_id,
        };
        let need = TargetRequirement::Adapter {
            adapter: resolved.name.clone(),
            version: resolved.version,
            base_model: resolved.base_model.clone(),
        };
        let work = Work::Generate(GenerateWork {
            adapter: resolved.name,
            version: resolved.version,
            digest: resolved.digest,
            base_model: resolved.base_model,
            prompt: req.prompt,
            max_tokens: req.max_tokens,
            generated: Vec::new(),
        });
        self.job(&configuration, terms, need, work).await
    }

    pub async fn call(&self, req: CallRequest) -> Result<Job, Status> {
        let configuration = self.configuration()?;
        self.check_group(&configuration, &req.group)?;
        let Some(service) = configuration.service(&req.service) else {
            return Err(self.bad("service", "not a known service"));
        };
        if req.body.len() > MAX_BODY_BYTES {
            return Err(self.bad("body", "expected at most 1048576 bytes"));
        }
        if !service.repeatable && !req.not_repeatable {
            let expected = "calls of this service must not be repeated: set it";
            return Err(self.bad("not_repeatable", expected));
        }
        let terms = Terms {
            group: req.group,
            class: req.class,
            timeout_ms: req.timeout_ms,
            not_repeatable: req.not_repeatable,
            reserved_id: req.reserved_id,
        };
        let need = TargetRequirement::Service(req.service.clone());
        let work = Work::Call(CallWork {
            service: req.service,
            body: req.body,
        });
        self.job(&configuration, terms, need, work).await
    }

    async fn job(
        &self,
        configuration: &Configuration,
        terms: Terms,
        need: TargetRequirement,
        work: Work,
    ) -> Result<Job, Status> {
        let timeout = self.timeout(configuration, &terms.class, terms.timeout_ms)?;
        let reserved = self.reserved(&terms, &need).await?;
        Ok(Job {
            request: request_id(&reserved),
            reserved,
            group: terms.group,
            class: terms.class,
            deadline: clock::now() + timeout,
            need,
            work,
        })
    }

    fn timeout(
        &self,
        configuration: &Configuration,
        class: &str,
        asked_ms: u32,
    ) -> Result<Duration, Status> {
        let Some(class) = configuration.class(class) else {
            return Err(self.bad("class", "not a known class"));
        };
        Ok(match asked_ms {
            0 => class.timeout(),
            ms => class.timeout().min(Duration::from_millis(u64::from(ms))),
        })
    }

    /// a request that must not be repeated needs an id that binds it to one
    /// target; without one nothing could stop a copy through another entry
    async fn reserved(
        &self,
        terms: &Terms,
        need: &TargetRequirement,
    ) -> Result<Option<ReservedId>, Status> {
        let reserved_id = terms.reserved_id.as_str();
        match (terms.not_repeatable, reserved_id.is_empty()) {
            (false, true) => Ok(None),
            (true, true) => Err(self.bad("reserved_id", "required: call Reserve first")),
            (false, false) => Err(self.bad("not_repeatable", "must be set with a reserved id")),
            (true, false) => {
                let parsed = reserved_id.parse::<ReservedId>();
                let id = parsed.map_err(|e| self.bad("reserved_id", &e.to_string()))?;
                self.check_target(&id, need).await?;
                Ok(Some(id))
            }
        }
    }

    /// the id must be of a target that can do the work
    async fn check_target(&self, id: &ReservedId, need: &TargetRequirement) -> Result<(), Status> {
        let Some(listed) = self.shared.control.find(id.target.clone()).await else {
            return Ok(());
        };
        match can_serve(&listed.role, need) {
            true => Ok(()),
            false => Err(self.bad("reserved_id", "reserved for other work")),
        }
    }
}

fn request_id(reserved: &Option<ReservedId>) -> String {
    match reserved {
        Some(id) => id.to_string(),
        None => format!("{:032x}", rand::random::<u128>()),
    }
}
