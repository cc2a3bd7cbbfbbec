/**
 * The only place that reads settings: the platform's configuration file and variables, the
 * operators' script, the second front's file. All of it is checked and has its defaults here.
 *
 * <p>What cannot be used raises {@link bitternpulley.config.ConfigurationException}, whose message
 * names the key; a start ends by it with status 2, a reload changes nothing. Nothing is read after
 * that but by a reload. Start with {@link bitternpulley.config.ConfigurationReader}.
 */
package bitternpulley.config;
