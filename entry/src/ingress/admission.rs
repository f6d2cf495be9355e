use {
    chalkcart_coordination::{
        config::ConfigLease,
        limits::{AccountLimiter, LimitExceeded, LimitSettings},
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

/// who asks, by its key
#[derive(Debug, Clone)]
pub struct Caller {
    pub account: Arc<ClientAccount>,
    key: ApiKeyDigest,
}

/// why a request with or without a key goes no further
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// what is known may be older than keys may be used for
    #[error("configuration not known to be current")]
    Outdated,
    #[error("{0}")]
    Key(ApiKeyError),
    #[error("unknown key")]
    UnknownKey,
}

/// whether a request may go on: its key, the age of the configuration, and the
/// limit of its account
pub struct Admission {
    lease: Mutex<ConfigLease>,
    limits: Mutex<AccountLimiter>,
}

impl Admission {
    /// `revoked_within` is the time after which a key that was taken away must not
    /// be used, if there is such a bound
    pub fn new(entry: &BoxName, revoked_within: Option<Duration>, limits: LimitSettings) -> Self {
        let incarnation = rand::random();
        Self {
            lease: Mutex::new(ConfigLease::new(revoked_within)),
            limits: Mutex::new(AccountLimiter::new(
                limits,
                entry.clone(),
                incarnation,
                clock::now(),
            )),
        }
    }

    pub fn lease(&self) -> MutexGuard<'_, ConfigLease> {
        // no holder panics halfway through a change
        self.lease.lock().unwrap_or_else(|e| e.into_inner())
    }
    pub fn limits(&self) -> MutexGuard<'_, AccountLimiter> {
        // no holder panics halfway through a change
        self.limits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// whether keys and routes that are not known can be told from new ones
    pub fn is_config_current(&self) -> bool {
        self.lease().is_valid(clock::now())
    }
    /// time since the configuration in hand was known to be the newest, in ms; -1
    /// if it never was
    pub fn config_age_ms(&self) -> i64 {
        let age = self.lease().age(clock::now());
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// ages of the configuration and of the keeper's word on an account's limit
    pub fn ages(&self, account: AccountFingerprint) -> (Option<Duration>, Option<Duration>) {
        let now = clock::now();
        let configuration = self.lease().age(now);
        (configuration, self.limits().level_age(account, now))
    }

    /// the account that asks, none on a route that needs no key
    ///
    /// # Errors
    /// the key is not known, or what is known is too old to say so
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

    /// Whether a caller's key still belongs to its account, as far as is known: what was
    /// known when the request came may have grown too old while it waited, or while the
    /// machine was suspended.
    ///
    /// # Errors
    /// the key is another's by now, or what is known is too old to say so
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

    /// Where a request may be served, by its route and its account as a table has them. One
    /// that the table lacks is bound as it was before.
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

    /// a request came that is to be charged to its account's limit
    pub fn record_request(&self, account: &ClientAccount, limit: &RateLimit, units: u64) {
        let now = clock::now();
        self.limits()
            .record_request(account.fingerprint, limit, units, now);
    }

    /// charge a request that came to its account's limit
    ///
    /// # Errors
    /// the account is over its limit
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

/// what a request was charged; given back when it ends without having run
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
    /// it is sent to a back end, or one has said that it did not run
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
