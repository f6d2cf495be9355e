use {
    crate::ids::RegionName,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// Regions in which a request may be served and its data stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions {
    /// `None` if all regions are allowed.
    only: Option<BTreeSet<RegionName>>,
}

impl AllowedRegions {
    /// Restricts to the named regions; an empty list means no restriction.
    pub fn restricted_to(names: impl IntoIterator<Item = RegionName>) -> Self {
        let names: BTreeSet<RegionName> = names.into_iter().collect();
        Self {
            only: (!names.is_empty()).then_some(names),
        }
    }

    /// Returns the regions that both allow, which may be none.
    pub fn intersection(&self, other: &Self) -> Self {
        let only = match (&self.only, &other.only) {
            (Some(left), Some(right)) => Some(left.intersection(right).cloned().collect()),
            (left, right) => left.clone().or_else(|| right.clone()),
        };
        Self { only }
    }

    /// Returns whether a region is allowed. An unknown region is allowed only without a
    /// restriction.
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

/// Writes `any`, `none`, or the names separated by commas, for logs.
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
