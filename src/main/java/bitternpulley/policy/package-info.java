/**
 * The decision module: which server gets a part, when an attempt is late or tried again, when a
 * query is answered, refused or given up. It implements {@link bitternpulley.routing.Router}, knows
 * no wire, keeps no clock and never blocks; the same events give the same actions. Called by the
 * core and by the simulator's adapter. Start with {@link bitternpulley.policy.RoutingPolicy}.
 */
package bitternpulley.policy;
