package bitternpulley.admin;

import java.util.Arrays;
import java.util.Optional;

/** The commands of the admin endpoint, by the names that operators call. */
enum AdminCommand {
  HEALTH("health", 0, 0),
  CORDON("cordon", 1, 1),
  UNCORDON("uncordon", 1, 1),
  QUIESCE("quiesce", 0, 0),
  RESUME("resume", 0, 0),
  RELOAD("reload", 0, 0),
  ACCOUNTS("accounts", 0, 1),
  MEMBERS("members", 0, 0);

  private final String word;
  private final int minArguments;
  private final int maxArguments;

  AdminCommand(String word, int minArguments, int maxArguments) {
    this.word = word;
    this.minArguments = minArguments;
    this.maxArguments = maxArguments;
  }

  /** The command of that name which takes that many arguments. */
  static Optional<AdminCommand> find(String word, int arguments) {
    return Arrays.stream(values())
        .filter(command -> command.word.equals(word))
        .filter(command -> command.minArguments <= arguments && arguments <= command.maxArguments)
        .findFirst();
  }
}
