/**
 * Measurements of the real program against the project's own stand-ins, one class for each {@code
 * make measure-NAME}. Each ends by itself within 40 s and prints one JSON object last, whose
 * figures are computed from what clients and servers saw. Nothing here runs in service.
 */
package bitternpulley.benchmark;
