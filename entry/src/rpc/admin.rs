use {
    super::{generation_wait::wait_for_generation, request_validator::RequestValidator},
    crate::{app::Shared, control::TargetSummary},
    chalkcart_coordination::routing::{RouteRequest, TargetRequirement},
    chalkcart_protocol::v1::{
        admin_server::Admin, AddVersionRequest, CreateGroupRequest, Document, GetStatusRequest,
        GetStatusResponse, NextConfiguration, PlanRequest, PlanResponse, PlannedTarget,
        RegisterAdapterRequest, RetireVersionRequest, SetShareRequest, TargetStatus,
        WaitInForceRequest, WaitInForceResponse,
    },
    chalkcart_state::{
        config::{Change, ConfigError},
        fleet::Role,
        ids::{Generation, WeightsDigest, WeightsDigestError},
    },
    chalkcart_transport::clock,
    std::{sync::Arc, time::Duration},
    tonic::{Request, Response, Status},
};

/// Maximum wait for a generation.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Serves the RPCs of operators.
pub struct AdminService {
    shared: Arc<Shared>,
}

impl AdminService {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the documents that an operator publishes to make this change.
    fn plan_change(
        &self,
        base: Generation,
        change: &Change,
    ) -> Result<Response<NextConfiguration>, Status> {
        let validator = RequestValidator::new(&self.shared, "");
        let configuration = validator.configuration()?;
        let planned = configuration.plan_change(base, change);
        let planned = planned.map_err(|e| match e {
            ConfigError::BadValue {
                key,
                value,
                expected,
            } => validator.invalid_field(&key, &format!("{value}, expected {expected}")),
            e @ ConfigError::StaleBase { .. } => Status::failed_precondition(e.to_string()),
            e @ ConfigError::WrongShard { .. } => Status::internal(e.to_string()),
        })?;
        let documents = planned.documents.into_iter().map(|d| Document {
            key: d.key,
            content: d.content,
        });
        Ok(Response::new(NextConfiguration {
            generation: planned.generation,
            documents: documents.collect(),
        }))
    }

    fn parse_digest(&self, text: &str) -> Result<WeightsDigest, Status> {
        text.parse().map_err(|e: WeightsDigestError| {
            RequestValidator::new(&self.shared, "").invalid_field("digest", &e.to_string())
        })
    }

    fn check_filled(&self, fields: &[(&str, &str)]) -> Result<(), Status> {
        let validator = RequestValidator::new(&self.shared, "");
        match fields.iter().find(|(_, value)| value.is_empty()) {
            Some((field, _)) => Err(validator.invalid_field(field, "must not be empty")),
            None => Ok(()),
        }
    }
}

#[tonic::async_trait]
impl Admin for AdminService {
    async fn create_group(
        &self,
        req: Request<CreateGroupRequest>,
    ) -> Result<Response<NextConfiguration>, Status> {
        let req = req.into_inner();
        self.check_filled(&[("group", &req.group)])?;
        let change = Change::CreateGroup {
            group: req.group,
            share: req.share,
        };
        self.plan_change(req.base_generation, &change)
    }

    async fn set_share(
        &self,
        req: Request<SetShareRequest>,
    ) -> Result<Response<NextConfiguration>, Status> {
        let req = req.into_inner();
        self.check_filled(&[("group", &req.group)])?;
        let change = Change::SetShare {
            group: req.group,
            share: req.share,
        };
        self.plan_change(req.base_generation, &change)
    }

    async fn register_adapter(
        &self,
        req: Request<RegisterAdapterRequest>,
    ) -> Result<Response<NextConfiguration>, Status> {
        let req = req.into_inner();
        self.check_filled(&[("adapter", &req.adapter)])?;
        let change = Change::RegisterAdapter {
            adapter: req.adapter,
            group: req.group,
            base_model: req.base_model,
            digest: self.parse_digest(&req.digest)?,
        };
        self.plan_change(req.base_generation, &change)
    }

    async fn add_version(
        &self,
        req: Request<AddVersionRequest>,
    ) -> Result<Response<NextConfiguration>, Status> {
        let req = req.into_inner();
        self.check_filled(&[("adapter", &req.adapter)])?;
        let change = Change::AddVersion {
            adapter: req.adapter,
            digest: self.parse_digest(&req.digest)?,
        };
        self.plan_change(req.base_generation, &change)
    }

    async fn retire_version(
        &self,
        req: Request<RetireVersionRequest>,
    ) -> Result<Response<NextConfiguration>, Status> {
        let req = req.into_inner();
        self.check_filled(&[("adapter", &req.adapter)])?;
        let change = Change::RetireVersion {
            adapter: req.adapter,
            version: req.version,
        };
        self.plan_change(req.base_generation, &change)
    }

    async fn get_status(
        &self,
        _: Request<GetStatusRequest>,
    ) -> Result<Response<GetStatusResponse>, Status> {
        let targets = self.shared.control.target_summaries().await;
        Ok(Response::new(GetStatusResponse {
            r#box: self.shared.settings.name.clone(),
            generation: self.shared.active_config.generation(),
            targets: targets.iter().map(target_status).collect(),
        }))
    }

    async fn plan(&self, req: Request<PlanRequest>) -> Result<Response<PlanResponse>, Status> {
        let req = req.into_inner();
        let validator = RequestValidator::new(&self.shared, "");
        let configuration = validator.configuration()?;
        let Some(adapter) = configuration.adapter(&req.adapter) else {
            return Err(validator.invalid_field("adapter", "not a known adapter"));
        };
        let request = RouteRequest {
            requirement: TargetRequirement::Adapter {
                adapter: adapter.name.to_string(),
                version: req.version,
                base_model: adapter.base_model.to_string(),
            },
            tokens: 0,
            excluded: Vec::new(),
        };
        let routes = self.shared.control.plan(request).await;
        let targets = routes.into_iter().map(|route| PlannedTarget {
            r#box: route.target,
            expected_wait_ms: route.expected_wait.as_millis() as u64,
            loaded: route.is_loaded,
        });
        Ok(Response::new(PlanResponse {
            targets: targets.collect(),
        }))
    }

    async fn wait_in_force(
        &self,
        req: Request<WaitInForceRequest>,
    ) -> Result<Response<WaitInForceResponse>, Status> {
        let req = req.into_inner();
        let wait = Duration::from_millis(u64::from(req.timeout_ms)).min(MAX_WAIT);
        let deadline = clock::now() + wait;
        let missing = wait_for_generation(&self.shared, req.generation, deadline).await;
        Ok(Response::new(WaitInForceResponse {
            in_force: missing.is_empty(),
            missing,
        }))
    }
}

fn target_status(target: &TargetSummary) -> TargetStatus {
    let role = match &target.listed.role {
        Role::Entry => "entry".to_string(),
        Role::Engine { base_model } => format!("engine {base_model}"),
        Role::Service { service } => format!("service {service}"),
    };
    let report = target.report.as_ref();
    TargetStatus {
        r#box: target.listed.name.clone(),
        zone: target.listed.zone.clone(),
        role,
        leaving: target.is_leaving,
        suspect: target.is_suspect,
        queued_tokens: report.map_or(0, |r| r.queued_tokens),
        running: report.map_or(0, |r| r.running),
        generation: report.map_or(0, |r| r.generation),
        heard_ms_ago: target.report_age.map(|age| age.as_millis() as u64),
    }
}
