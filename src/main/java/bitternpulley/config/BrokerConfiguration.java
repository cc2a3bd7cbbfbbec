package bitternpulley.config;

import bitternpulley.contracts.ContractSet;
import bitternpulley.contracts.TenantIdentification;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Optional;

/**
 * The configuration in the operators' script.
 *
 * @param contracts the contracts as version 1; a reload that changes the script activates them as
 *     the next version
 * @param tenantIdentification how requests are attributed to the teams of the contracts
 * @param searchFrontendSettings the settings of the search front end, if the script has them
 * @param listsAccounts whether the admin endpoint lists accounts
 * @param membership the configuration of membership, if membership is enabled
 * @param document the whole configuration as a JSON document that conforms to the schema
 * @param scriptOutput the text that the script printed
 */
public record BrokerConfiguration(
    ContractSet contracts,
    TenantIdentification tenantIdentification,
    Optional<JsonNode> searchFrontendSettings,
    boolean listsAccounts,
    Optional<MembershipConfiguration> membership,
    JsonNode document,
    String scriptOutput) {

  /** The configuration without an operators' script: there are no contracts. */
  public static final BrokerConfiguration NONE =
      new BrokerConfiguration(
          ContractSet.NONE,
          TenantIdentification.NONE,
          Optional.empty(),
          false,
          Optional.empty(),
          NullNode.getInstance(),
          "");
}
