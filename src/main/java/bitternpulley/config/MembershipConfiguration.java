package bitternpulley.config;

import bitternpulley.membership.MembershipSettings;
import java.util.Optional;

/**
 * The configuration of membership among the aggregators in the operators' script.
 *
 * @param settings the timing and fan-out of failure detection
 * @param region the region of this instance; empty if none is set
 * @param deployment the name that separates deployments from each other; empty if none is set
 * @param leases the configuration of leases, if leases are enabled
 */
public record MembershipConfiguration(
    MembershipSettings settings,
    String region,
    String deployment,
    Optional<LeaseConfiguration> leases) {}
