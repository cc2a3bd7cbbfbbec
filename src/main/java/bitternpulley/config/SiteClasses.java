package bitternpulley.config;

import bitternpulley.routing.Settings;

/** The query classes of the settings, as the operators' script names them. */
final class SiteClasses {
  private SiteClasses() {}

  /** The position of a class; {@code pointer} is where the script names it. */
  static int position(Settings settings, String name, BrokerScript script, String pointer) {
    int position = 0;
    for (Settings.QueryClass queryClass : settings.classes()) {
      if (queryClass.name().equals(name)) {
        return position;
      }
      position++;
    }
    throw script.error(pointer, "is no class of the site");
  }
}
