//! Type aliases of identifiers that several crates use.

/// Name of a group, a tenant that shares the fleet.
pub type GroupName = String;
/// Name of a service class, such as `counter` or `overnight`.
pub type ClassName = String;
/// Name of an adapter, unique across all groups.
pub type AdapterName = String;
/// Number of an adapter's version, starting at 1.
pub type VersionNumber = u32;
pub type BaseModelName = String;
/// Name of a plain service.
pub type ServiceName = String;
/// Name of a box, as the platform lists it.
pub type BoxName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Name of a region, which contains availability zones.
pub type RegionName = String;
/// Number of a configuration; a higher one replaces a lower one.
pub type Generation = u64;
/// Random identifier of one run of a process.
pub type Incarnation = u64;
/// Fencing token: an engine rejects orders with a lower one than it has seen.
pub type Fence = u64;
/// Identifier of a request, unique across the fleet.
pub type RequestId = String;
/// Position of a frame in its stream, starting at 0.
pub type Sequence = u64;
/// SHA-256 in lowercase hexadecimal.
pub type Digest = String;
