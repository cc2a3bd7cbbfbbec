package bitternpulley.admin;

import java.util.Arrays;
import java.util.Optional;

/** The commands of the admin endpoint, with their names and numbers of arguments. */
enum AdminCommand {
  HEALTH("health", 0, 0),
  CORDON("cordon", 1, 1),
  UNCORDON("uncordon", 1, 1),
  QUIESCE("quiesce", 0, 0),
  RESUME("resume", 0, 0),
  RELOAD("reload", 0, 0),
  ACCOUNTS("accounts", 0, 1),
  MEMBERS("members", 0, 0);

  private final String commandName;
  private final int minArguments;
  private final int maxArguments;

  AdminCommand(String commandName, int minArguments, int maxArguments) {
    this.commandName = commandName;
    this.minArguments = minArguments;
    this.maxArguments = maxArguments;
  }

  /** Returns the command with the given name that takes the given number of arguments. */
  static Optional<AdminCommand> find(String commandName, int argumentCount) {
    return Arrays.stream(values())
        .filter(command -> command.commandName.equals(commandName))
        .filter(
            command ->
                command.minArguments <= argumentCount && argumentCount <= command.maxArguments)
        .findFirst();
  }
}
