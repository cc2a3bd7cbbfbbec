/**
 * The only place that reads settings: the platform's configuration file and environment variables,
 * the operators' script and the file of the search front. Here every setting is checked, gets its
 * default, and its external name is mapped to the one used in code.
 *
 * <p>The package decides nothing at run time and starts nothing. A setting that cannot be used
 * raises {@link bitternpulley.config.ConfigurationException}, whose message names the key; a start
 * then ends with status 2, and a reload changes nothing. Files are read only at the start and on a
 * reload, by {@code Aggregator} and {@code Check}; endpoint lists are also parsed for the discovery
 * client. Start reading with {@link bitternpulley.config.ConfigurationReader}, and with {@link
 * bitternpulley.config.BrokerConfigurationReader} for the operators' script.
 */
package bitternpulley.config;
