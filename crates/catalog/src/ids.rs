//! Type aliases for the names and ids that refer to objects.

/// Name of a client account.
pub type ClientAccountId = String;
/// Name of a failure domain, from the settings of the instance.
pub type FailureDomainId = String;
/// Name of one instance of the system or of a target.
pub type InstanceId = String;
/// Name that callers put into the `model` field.
pub type ModelId = String;
/// Name of one version of a model.
pub type ModelVersionId = String;
/// Name of a placement rule.
pub type PlacementRuleId = String;
/// Name of a region.
pub type RegionId = String;
/// Id of one request, returned in `x-request-id`.
pub type RequestId = String;
/// Revision of the key-value service; increases with every accepted change.
pub type Revision = u64;
/// Name of a target.
pub type TargetId = String;
/// Version of a target's software, as the target names it. Not comparable.
pub type SoftwareVersion = String;
/// Digest of a version's weights in hex, as the operator configures and the engine reports it.
pub type VersionDigest = String;
