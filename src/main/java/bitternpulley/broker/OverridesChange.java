package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * The changes that new operator overrides make.
 *
 * @param cordoned the listed servers that are cordoned from now on; live ones count as draining
 * @param readmitted the listed servers that are no longer cordoned
 * @param quiesceChanged whether this instance is to be quiesced or resumed
 */
record OverridesChange(
    List<Router.Endpoint> cordoned, List<Router.Endpoint> readmitted, boolean quiesceChanged) {}
