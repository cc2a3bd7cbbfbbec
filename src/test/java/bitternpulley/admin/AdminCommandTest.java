package bitternpulley.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests how commands of the admin endpoint are found by name and number of arguments. */
class AdminCommandTest {
  @Test
  void findsCommandByNameAndNumberOfArguments() {
    assertEquals(Optional.of(AdminCommand.HEALTH), AdminCommand.find("health", 0));
    assertEquals(Optional.of(AdminCommand.CORDON), AdminCommand.find("cordon", 1));
  }

  @Test
  void findsAccountsWithAndWithoutTeam() {
    assertEquals(Optional.of(AdminCommand.ACCOUNTS), AdminCommand.find("accounts", 0));
    assertEquals(Optional.of(AdminCommand.ACCOUNTS), AdminCommand.find("accounts", 1));
    assertEquals(Optional.empty(), AdminCommand.find("accounts", 2));
  }

  @Test
  void findsNothingForWrongNumberOfArguments() {
    assertEquals(Optional.empty(), AdminCommand.find("health", 1));
    assertEquals(Optional.empty(), AdminCommand.find("cordon", 0));
  }

  @Test
  void findsNothingForUnknownName() {
    assertEquals(Optional.empty(), AdminCommand.find("Health", 0));
    assertEquals(Optional.empty(), AdminCommand.find("", 0));
  }
}
