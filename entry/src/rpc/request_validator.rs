//! Checks callers' requests against the configuration.

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

/// Maximum number of output tokens of a request.
const MAX_TOKENS: u32 = 8_192;
/// Maximum size of a prompt or a body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Retry delay for the caller when this entry is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Checks the requests of a caller and turns them into jobs.
///
/// An earlier duplicate of a request with a reserved id may have run through another entry.
/// Only the target can report `NOT_RUN` for it; here it is rejected with `MAY_HAVE_RUN`.
#[derive(Clone, Copy)]
pub struct RequestValidator<'a> {
    shared: &'a Shared,
    outcome: Outcome,
}

/// The fields that requests of all kinds have in common.
struct RequestOptions {
    group: GroupName,
    class: ClassName,
    /// 0 for the timeout of the class.
    timeout_ms: u32,
    not_repeatable: bool,
    reserved_id: String,
}

impl<'a> RequestValidator<'a> {
    pub fn new(shared: &'a Shared, reserved_id: &str) -> Self {
        let outcome = match reserved_id.is_empty() {
            true => Outcome::NotRun,
            false => Outcome::MayHaveRun,
        };
        Self { shared, outcome }
    }

    /// Returns the status for a request that has an invalid field.
    pub fn invalid_field(&self, field: &str, description: &str) -> Status {
        bad_field(self.outcome, &self.shared.settings.name, field, description)
    }

    /// Returns the configuration in force, or an error while this entry is not ready.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Status> {
        let found = self.shared.active_config.configuration();
        found.filter(|_| self.shared.is_ready()).ok_or_else(|| {
            let name = &self.shared.settings.name;
            let refusal = Refusal::new(self.outcome, Step::Admission, name, Reason::Leaving)
                .with_detail("this entry is starting or stopping")
                .with_retry_after(NOT_READY_RETRY_AFTER);
            to_status(&refusal)
        })
    }

    pub fn resolve_adapter(
        &self,
        configuration: &Configuration,
        group: &str,
        adapter: &str,
        version: u32,
    ) -> Result<ResolvedAdapter, Status> {
        self.check_group(configuration, group)?;
        let Some(found) = configuration.adapter(adapter) else {
            return Err(self.invalid_field("adapter", "not a known adapter"));
        };
        if found.group != group {
            return Err(self.invalid_field("adapter", "not an adapter of the group"));
        }
        let resolved = configuration.resolve(adapter, version);
        resolved.ok_or_else(|| self.invalid_field("version", "not a version of the adapter"))
    }

    pub fn check_group(&self, configuration: &Configuration, group: &str) -> Result<(), Status> {
        match configuration.group(group) {
            Some(_) => Ok(()),
            None => Err(self.invalid_field("group", "not a known group")),
        }
    }

    pub async fn generate_job(&self, req: GenerateRequest) -> Result<Job, Status> {
        let configuration = self.configuration()?;
        let resolved =
            self.resolve_adapter(&configuration, &req.group, &req.adapter, req.version)?;
        if req.prompt.is_empty() || req.prompt.len() > MAX_BODY_BYTES {
            return Err(self.invalid_field("prompt", "expected 1 to 1048576 bytes"));
        }
        if req.max_tokens == 0 || req.max_tokens > MAX_TOKENS {
            return Err(self.invalid_field("max_tokens", "expected 1 to 8192"));
        }
        let options = RequestOptions {
            group: req.group,
            class: req.class,
            timeout_ms: req.timeout_ms,
            not_repeatable: req.not_repeatable,
            reserved_id: req.reserved_id,
        };
        let requirement = TargetRequirement::Adapter {
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
        self.new_job(&configuration, options, requirement, work)
            .await
    }

    pub async fn call_job(&self, req: CallRequest) -> Result<Job, Status> {
        let configuration = self.configuration()?;
        self.check_group(&configuration, &req.group)?;
        let Some(service) = configuration.service(&req.service) else {
            return Err(self.invalid_field("service", "not a known service"));
        };
        if req.body.len() > MAX_BODY_BYTES {
            return Err(self.invalid_field("body", "expected at most 1048576 bytes"));
        }
        if !service.repeatable && !req.not_repeatable {
            let expected = "calls of this service must not be repeated: set it";
            return Err(self.invalid_field("not_repeatable", expected));
        }
        let options = RequestOptions {
            group: req.group,
            class: req.class,
            timeout_ms: req.timeout_ms,
            not_repeatable: req.not_repeatable,
            reserved_id: req.reserved_id,
        };
        let requirement = TargetRequirement::Service(req.service.clone());
        let work = Work::Call(CallWork {
            service: req.service,
            body: req.body,
        });
        self.new_job(&configuration, options, requirement, work)
            .await
    }

    async fn new_job(
        &self,
        configuration: &Configuration,
        options: RequestOptions,
        requirement: TargetRequirement,
        work: Work,
    ) -> Result<Job, Status> {
        let timeout = self.timeout(configuration, &options.class, options.timeout_ms)?;
        let reserved_id = self.check_reserved_id(&options, &requirement).await?;
        Ok(Job {
            request_id: request_id(&reserved_id),
            reserved_id,
            group: options.group,
            class: options.class,
            deadline: clock::now() + timeout,
            requirement,
            work,
        })
    }

    fn timeout(
        &self,
        configuration: &Configuration,
        class: &str,
        requested_ms: u32,
    ) -> Result<Duration, Status> {
        let Some(class) = configuration.class(class) else {
            return Err(self.invalid_field("class", "not a known class"));
        };
        Ok(match requested_ms {
            0 => class.timeout(),
            ms => class.timeout().min(Duration::from_millis(u64::from(ms))),
        })
    }

    /// Returns the reserved id of a request that must run at most once.
    ///
    /// The id binds the request to one target, which rejects duplicates sent through other
    /// entries.
    async fn check_reserved_id(
        &self,
        options: &RequestOptions,
        requirement: &TargetRequirement,
    ) -> Result<Option<ReservedId>, Status> {
        let reserved_id = options.reserved_id.as_str();
        match (options.not_repeatable, reserved_id.is_empty()) {
            (false, true) => Ok(None),
            (true, true) => Err(self.invalid_field("reserved_id", "required: call Reserve first")),
            (false, false) => {
                Err(self.invalid_field("not_repeatable", "must be set with a reserved id"))
            }
            (true, false) => {
                let parsed = reserved_id.parse::<ReservedId>();
                let id = parsed.map_err(|e| self.invalid_field("reserved_id", &e.to_string()))?;
                self.check_reserved_target(&id, requirement).await?;
                Ok(Some(id))
            }
        }
    }

    /// Checks that the target of the reserved id can serve the request.
    async fn check_reserved_target(
        &self,
        id: &ReservedId,
        requirement: &TargetRequirement,
    ) -> Result<(), Status> {
        let Some(listed) = self.shared.control.find_target(id.target.clone()).await else {
            return Ok(());
        };
        match can_serve(&listed.role, requirement) {
            true => Ok(()),
            false => Err(self.invalid_field("reserved_id", "reserved for other work")),
        }
    }
}

fn request_id(reserved_id: &Option<ReservedId>) -> String {
    match reserved_id {
        Some(id) => id.to_string(),
        None => format!("{:032x}", rand::random::<u128>()),
    }
}
