/**
 * The list of flag servers as a deterministic state machine: replicas that apply the same commands in the
 * same order hold the same list.
 *
 * <p>Jackson writes the records of this package under the names of their components, in CBOR: to the Raft
 * log, to snapshots, and between replicas of older and newer builds. Unknown keys are rejected, so a
 * component may only be renamed together with {@code @JsonProperty("oldName")}.
 */
package barleyfall.catalog.model;
