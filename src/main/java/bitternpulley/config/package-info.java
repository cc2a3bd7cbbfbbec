/**
 * Reads all settings: the platform's configuration file and environment variables, the operators'
 * script and the file of the search front end. No other package reads settings. Every setting is
 * checked here, gets its default, and its external name is mapped to the one used in code.
 *
 * <p>The package makes no decisions at run time and starts no tasks. A setting that cannot be used
 * raises {@link bitternpulley.config.ConfigurationException}, whose message names the key; a start
 * then ends with status 2, and a reload changes nothing. Files are read only at the start, on a
 * reload, and by the {@code check} command; endpoint lists are also parsed for the discovery
 * client. Start reading with {@link bitternpulley.config.ConfigurationReader}, and with {@link
 * bitternpulley.config.BrokerConfigurationReader} for the operators' script.
 */
package bitternpulley.config;
