package bitternpulley.config;

import bitternpulley.membership.MembershipSettings;
import java.util.Optional;

/**
 * What the operators' script says of membership among the aggregators.
 *
 * @param terms timing and fan-out of failure detection
 * @param region of this instance; empty if none is set
 * @param deployment the name that separates deployments from each other; empty if none is set
 * @param leases the leases, if they are on
 */
public record MembershipConfiguration(
    MembershipSettings terms,
    String region,
    String deployment,
    Optional<LeaseConfiguration> leases) {}
