package bitternpulley.contracts;

/**
 * A query that asks to be let in.
 *
 * @param team whose it is, as a front recognised it; null where none did
 * @param queryClass the class's position in the settings
 * @param parts how many it falls into
 * @param hintedWork ms of work that its parts are said to take together, 0 where nothing is said
 * @param retry whether its client marks it as another try
 * @param fingerprint tells a query that comes again from others of its team, as a hash of what is
 *     asked; 0 for none
 */
public record AdmissionRequest(
    String team, int queryClass, int parts, double hintedWork, boolean retry, long fingerprint) {}
