/**
 * The operators' script: a small language after Starlark, evaluated once when it is loaded. {@link
 * bitternpulley.script.ScriptRunner} (start reading there) takes a text and the functions that it
 * may call, and gives the values that those were called with; what they mean is not known here.
 *
 * <p>It reads no file, clock or random number, so one text has one outcome. It ends: there is no
 * {@code while} and no recursion, and text, nesting, steps, memory and printed output are bounded
 * by {@link bitternpulley.script.Bounds}. Whatever is wrong is a {@link
 * bitternpulley.script.ScriptException} with its place; nothing else is thrown, whatever the text.
 */
package bitternpulley.script;
