package bitternpulley.config;

import bitternpulley.membership.MembershipSettings;
import java.util.Optional;

/**
 * What the operators' script says of the other aggregators: membership's terms, the region of this
 * instance, what tells deployments apart, and leases where they are on.
 */
public record MembershipConfiguration(
    MembershipSettings terms,
    String region,
    String deployment,
    Optional<LeaseConfiguration> leases) {}
