use {
    chalkcart_coordination::{
        config::ConfigLease,
        limits::{AccountLimiter, LimitDecisionInputs, LimitExceeded, LimitSettings},
    },
    chalkcart_state::{
        accounts::{AccountFingerprint, ApiKeyDigest, ApiKeyError, ClientAccount, RateLimit},
        ids::BoxName,
        ingress::{Route, RouteTable},
        regions::AllowedRegions,
    },
    chalkcart_transport::clock,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    thiserror::Error,
};

/// A client that authenticated with an API key.
#[derive(Debug, Clone)]
pub struct Caller {
    pub account: Arc<ClientAccount>,
    key: ApiKeyDigest,
}

/// The reason why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The configuration may be older than the bound on the use of revoked keys.
    #[error("configuration not known to be current")]
    Outdated,
    #[error("{0}")]
    Key(ApiKeyError),
    #[error("unknown key")]
    UnknownKey,
}

/// Admits requests by their API key, the age of the configuration and the rate limit of their
/// account.
pub struct Admission {
    lease: Mutex<ConfigLease>,
    limits: Mutex<AccountLimiter>,
}

impl Admission {
    /// Creates the admission control of an entry. `revocation_bound` is the time after which a
    /// revoked key must no longer be accepted, if there is such a bound.
    pub fn new(entry: &BoxName, revocation_bound: Option<Duration>, limits: LimitSettings) -> Self {
        let incarnation = rand::random();
        Self {
            lease: Mutex::new(ConfigLease::new(revocation_bound)),
            limits: Mutex::new(AccountLimiter::new(
                limits,
                entry.clone(),
                incarnation,
                clock::now(),
            )),
        }
    }

    pub fn lease(&self) -> MutexGuard<'_, ConfigLease> {
        // No holder panics in the middle of an update.
        self.lease.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn limits(&self) -> MutexGuard<'_, AccountLimiter> {
        // No holder panics in the middle of an update.
        self.limits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns whether the configuration is recent enough to reject unknown keys and routes,
    /// which might otherwise be newly added ones.
    pub fn is_config_current(&self) -> bool {
        self.lease().is_valid(clock::now())
    }

    /// Returns the time in ms since the configuration was last known to be current, or -1 if it
    /// never was.
    pub fn config_age_ms(&self) -> i64 {
        let age = self.lease().age(clock::now());
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Returns the age of the configuration and of the fleet-wide usage level of an account.
    pub fn ages(&self, account: AccountFingerprint) -> (Option<Duration>, Option<Duration>) {
        let now = clock::now();
        let configuration = self.lease().age(now);
        (configuration, self.limits().level_age(account, now))
    }

    /// Returns the caller that a key belongs to, or `None` on a route that needs no key.
    ///
    /// # Errors
    /// The key is invalid or unknown, or the configuration is too old to decide.
    pub fn admit(
        &self,
        table: &RouteTable,
        route: &Route,
        key: Result<ApiKeyDigest, ApiKeyError>,
    ) -> Result<Option<Caller>, AdmissionError> {
        let Some(accounts) = table.accounts.as_ref().filter(|_| !route.is_public) else {
            return Ok(None);
        };
        if !self.is_config_current() {
            return Err(AdmissionError::Outdated);
        }
        let key = key.map_err(AdmissionError::Key)?;
        let account = accounts.find(&key).ok_or(AdmissionError::UnknownKey)?;
        let account = account.clone();
        Ok(Some(Caller { account, key }))
    }

    /// Checks that a caller's key still belongs to its account, since the configuration may
    /// have changed or expired while the request was queued.
    ///
    /// # Errors
    /// The key no longer belongs to the account, or the configuration is too old to decide.
    pub fn revalidate(&self, table: &RouteTable, caller: &Caller) -> Result<(), AdmissionError> {
        if !self.is_config_current() {
            return Err(AdmissionError::Outdated);
        }
        let accounts = table.accounts.as_ref();
        let known = accounts.and_then(|accounts| accounts.find(&caller.key));
        match known.is_some_and(|account| account.name == caller.account.name) {
            true => Ok(()),
            false => Err(AdmissionError::UnknownKey),
        }
    }

    /// Returns the regions in which a request may be served, by its route and its account in
    /// `table`. If the table no longer has the account, its previous regions apply.
    pub fn allowed_regions(
        table: &RouteTable,
        route: &Route,
        caller: Option<&Caller>,
    ) -> AllowedRegions {
        let Some(caller) = caller else {
            return route.allowed_regions.clone();
        };
        let accounts = table.accounts.as_ref();
        let known = accounts.and_then(|accounts| accounts.find(&caller.key));
        let known = known.filter(|known| known.name == caller.account.name);
        let account = known.unwrap_or(&caller.account);
        route.allowed_regions.intersection(&account.allowed_regions)
    }

    /// Counts a request towards the demand of its account.
    pub fn record_request(&self, account: &ClientAccount, limit: &RateLimit, units: u64) {
        let now = clock::now();
        self.limits()
            .record_request(account.fingerprint, limit, units, now);
    }

    /// Returns the inputs of the decision if a charged request is beyond its account's share of
    /// the fleet.
    pub fn beyond_share(
        &self,
        account: AccountFingerprint,
        units: u64,
    ) -> Option<LimitDecisionInputs> {
        self.limits().beyond_share(account, units, clock::now())
    }

    /// Charges a request to its account's limit.
    ///
    /// # Errors
    /// The account is over its limit.
    pub fn charge(
        self: &Arc<Self>,
        account: &ClientAccount,
        limit: &RateLimit,
        units: u64,
    ) -> Result<Charge, LimitExceeded> {
        let now = clock::now();
        self.limits()
            .charge(account.fingerprint, limit, units, now)?;
        Ok(Charge {
            admission: self.clone(),
            account: account.fingerprint,
            units,
            may_have_run: false,
        })
    }
}

/// The units charged for a request; refunded on drop unless the request may have run.
pub struct Charge {
    admission: Arc<Admission>,
    account: AccountFingerprint,
    units: u64,
    may_have_run: bool,
}

impl Charge {
    pub fn units(&self) -> u64 {
        self.units
    }

    /// Set to `true` before a request is sent to a back end, and back to `false` once it is
    /// certain that the request did not run.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.may_have_run {
            let mut limits = self.admission.limits();
            limits.refund(self.account, self.units, clock::now());
        }
    }
}
