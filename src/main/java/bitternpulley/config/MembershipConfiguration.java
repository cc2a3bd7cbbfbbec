package bitternpulley.config;

import bitternpulley.membership.Terms;

/** What the operators' script says of membership: its terms, the region of this instance, and what tells deployments apart. */
public record MembershipConfiguration(Terms terms, String region, String deployment) {}
