/**
 * The operators' script: a small language modelled on Starlark, evaluated once when it is loaded.
 * {@link bitternpulley.script.ScriptRunner}, where to start reading, parses a text by the ANTLR
 * grammar {@code Script.g4}, evaluates it and passes the arguments of calls to the functions of a
 * {@link bitternpulley.script.ScriptHost}. The package decides whether a text is a valid script and
 * what its expressions evaluate to; it does not know what the host's functions mean.
 *
 * <p>It never reads a file, a clock or a random number, so a text always has the same result.
 *
 * <p>Invariants: every evaluation ends, because there is neither {@code while} nor recursion and
 * text, nesting, steps, memory and output are limited by {@link
 * bitternpulley.script.EvaluationLimits}; a script that is rejected is a {@link
 * bitternpulley.script.ScriptException} with the position of the fault, and no other exception is
 * thrown for any text. Called by {@code config} when contracts are loaded or reloaded.
 *
 * <p>{@code IndentationLexer} adds the tokens of blocks, {@code StatementExecutor} and {@code
 * ExpressionEvaluator} walk the parse tree, and {@code ScriptEvaluator} connects them to the
 * operations on values.
 */
package bitternpulley.script;
