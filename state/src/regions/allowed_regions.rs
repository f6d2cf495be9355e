use {
    crate::ids::RegionName,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// The regions in which a request may be served, and what it brings kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions {
    /// none if each is allowed
    only: Option<BTreeSet<RegionName>>,
}

impl AllowedRegions {
    /// these alone; a list without a name binds to none of them
    pub fn restricted_to(names: impl IntoIterator<Item = RegionName>) -> Self {
        let names: BTreeSet<RegionName> = names.into_iter().collect();
        Self {
            only: (!names.is_empty()).then_some(names),
        }
    }

    /// what both allow; where they have no region in common, none
    pub fn intersection(&self, other: &Self) -> Self {
        let only = match (&self.only, &other.only) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (own, others) => own.clone().or_else(|| others.clone()),
        };
        Self { only }
    }

    /// whether a region is allowed; one that is not known is not, where not each is
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        let Some(only) = &self.only else {
            return true;
        };
        region.is_some_and(|region| only.contains(region))
    }

    pub fn is_unrestricted(&self) -> bool {
        self.only.is_none()
    }
}

/// for logs: `any`, `none`, or the names
impl Display for AllowedRegions {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Some(only) = &self.only else {
            return f.write_str("any");
        };
        if only.is_empty() {
            return f.write_str("none");
        }
        let names: Vec<&str> = only.iter().map(String::as_str).collect();
        f.write_str(&names.join(","))
    }
}
