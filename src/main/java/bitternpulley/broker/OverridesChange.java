package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * What new operator overrides change.
 *
 * @param cordoned the listed servers that are cordoned from now on, as draining
 * @param readmitted the listed servers that are no longer cordoned
 * @param quiesceChanged whether clients are to be sent away from now on, or served again
 */
record OverridesChange(
    List<Router.Endpoint> cordoned, List<Router.Endpoint> readmitted, boolean quiesceChanged) {}
