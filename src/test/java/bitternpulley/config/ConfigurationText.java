package bitternpulley.config;

import java.util.Map;

/** A valid configuration file, which tests modify. */
final class ConfigurationText {
  static final String VALID =
      """
      {"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",
       "limits":{"sockets":512},
       "known":{"revision":4,"complete":true,"members":[
         {"id":"s-1","host_port":"127.0.0.1:3","locality":"b","cell":2,"phase":"draining",
          "up_since_ms":7}]},
       "settings":{"failureDomains":["a","b"],"requestClasses":[{"name":"c","deadline":50}],
         "domain":{"shards":4},"policyLimits":{"streamsPerConn":9,"keepalive":1000}}}""";

  private ConfigurationText() {}

  /** The valid file with additional top-level keys. */
  static String withKeys(String keys) {
    return VALID.replace("{\"name\":\"n3\"", "{\"name\":\"n3\"," + keys);
  }

  static Configuration read(String text) {
    return TemporaryFile.with(
        text, ".json", file -> ConfigurationReader.read(Map.of("LB_CONFIG", file.toString())));
  }
}
