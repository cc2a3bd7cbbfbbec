/**
 * The platform's protocol: {@link bitternpulley.platform.QueryFront} for clients, {@link
 * bitternpulley.platform.SlotServers} and its connections for slot servers, {@link
 * bitternpulley.platform.Discovery} for the list; and what makes a start short, {@link
 * bitternpulley.platform.Rehearsal} and {@link bitternpulley.platform.Preparation}.
 *
 * <p>Texts and frames are decoded once into small records and encoded once. Nothing is decided here
 * but which connection carries a call. What a peer spoils is its own attempt, request or watch.
 * Called by the event loop; start with {@link bitternpulley.platform.QueryFront}.
 */
package bitternpulley.platform;
