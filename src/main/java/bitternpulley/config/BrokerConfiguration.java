package bitternpulley.config;

import bitternpulley.contracts.ContractBook;
import bitternpulley.contracts.TenantIdentification;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Optional;

/**
 * The configuration in the operators' script.
 *
 * @param contracts the contracts, under version 1; they are renumbered when they are put in force
 * @param tenantIdentification how requests are attributed to the contracts' teams
 * @param searchFront the settings of the search front, if the script has them
 * @param listsAccounts whether the admin endpoint lists accounts
 * @param membership membership among the aggregators, if it is on
 * @param document everything as one JSON document, as the schema describes it
 * @param printed what the script printed
 */
public record BrokerConfiguration(
    ContractBook contracts,
    TenantIdentification tenantIdentification,
    Optional<JsonNode> searchFront,
    boolean listsAccounts,
    Optional<MembershipConfiguration> membership,
    JsonNode document,
    String printed) {

  /** There is no script, and there are no contracts. */
  public static final BrokerConfiguration NONE =
      new BrokerConfiguration(
          ContractBook.NONE,
          TenantIdentification.NONE,
          Optional.empty(),
          false,
          Optional.empty(),
          NullNode.getInstance(),
          "");
}
