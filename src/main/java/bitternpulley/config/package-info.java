/**
 * Reads all settings: the platform's configuration file and environment variables, the operators'
 * script and the file of the search front end. No other package reads settings. Every setting is
 * checked here, gets its default, and its external name is mapped to the one used in code.
 *
 * <p>{@link bitternpulley.config.ConfigurationReader} reads the platform's configuration file into
 * a {@link bitternpulley.config.Configuration}. {@link
 * bitternpulley.config.BrokerConfigurationReader} evaluates the operators' script, validates it
 * against a JSON schema and converts it to a {@link bitternpulley.config.BrokerConfiguration}.
 * {@link bitternpulley.config.SearchConfigurationReader} reads the settings of the search front end
 * from that script or from a file of their own. {@link bitternpulley.config.SettingsReader} is also
 * used for the settings in the simulator's messages, and {@link bitternpulley.config.EndpointList}
 * for the lists that discovery sends.
 *
 * <p>The package makes no decisions at run time and starts no tasks. A setting that cannot be used
 * raises {@link bitternpulley.config.ConfigurationException}, whose message names the key; a start
 * then ends with status 2, and a reload changes nothing. Files are read only at the start, on a
 * reload, and by the {@code check} command. Start with {@link
 * bitternpulley.config.ConfigurationReader}.
 */
package bitternpulley.config;
