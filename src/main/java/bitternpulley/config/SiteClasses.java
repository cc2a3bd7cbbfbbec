package bitternpulley.config;

import bitternpulley.routing.Settings;

/** Finds query classes of the settings by the names that the operators' script uses. */
final class SiteClasses {
  private SiteClasses() {}

  /** The position of a class in the settings; {@code pointer} locates its name in the script. */
  static int position(Settings settings, String name, BrokerScript script, String pointer) {
    int position = 0;
    for (Settings.QueryClass queryClass : settings.classes()) {
      if (queryClass.name().equals(name)) {
        return position;
      }
      position++;
    }
    throw script.error(pointer, "is not a query class of the site");
  }
}
