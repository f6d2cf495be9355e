//! aliases for the identifiers that cross module borders

/// name of a group (a team that shares the fleet)
pub type GroupName = String;
/// name of a service class, such as `counter` or `overnight`
pub type ClassName = String;
/// name of an adapter, unique over all groups
pub type AdapterName = String;
/// number of an adapter's version, counted from 1
pub type VersionNumber = u32;
/// name of a base model
pub type BaseModelName = String;
/// name of a plain service
pub type ServiceName = String;
/// name of a box, as the platform lists it
pub type BoxName = String;
/// name of an availability zone
pub type ZoneName = String;
/// name of a region, which holds availability zones
pub type RegionName = String;
/// number of a configuration; a higher one replaces a lower one
pub type Generation = u64;
/// drawn at random when a process starts; never used again
pub type Incarnation = u64;
/// number that an engine compares before it obeys an order
pub type Fence = u64;
/// identity of one request, unique over the fleet
pub type RequestId = String;
/// position of a frame in a stream of frames, counted from 0
pub type Sequence = u64;
/// lowercase hexadecimal SHA-256
pub type Digest = String;
