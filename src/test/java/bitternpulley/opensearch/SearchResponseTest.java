package bitternpulley.opensearch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.broker.Effect.Answer;
import bitternpulley.broker.Payload;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how hits are merged and responses are built, without a network. */
public class SearchResponseTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private static JsonNode json(String text) throws IOException {
    return JSON.readTree(text.replace('\'', '"'));
  }

  private static Search search(long totalHitsLimit) {
    return new Search(
        "s",
        List.of(new Search.Part("a", 0), new Search.Part("a", 1)),
        0,
        0,
        3,
        -1,
        true,
        totalHitsLimit,
        null,
        JSON.createObjectNode());
  }

  private static PartHits part(String total, String... hits) throws IOException {
    return PartHits.read(
            json(
                "{'timed_out':false,'_shards':{'failed':0},'hits':{'total':"
                    + total
                    + ",'hits':["
                    + String.join(",", hits)
                    + "]}}"),
            true)
        .orElseThrow();
  }

  private static SearchResponse answered(long totalHitsLimit, Payload first, Payload second) {
    return SearchResponse.of(
        search(totalHitsLimit),
        new Answer.Answered(true, Map.of(0, first, 1, second), Map.of()),
        7);
  }

  private static void assertTotal(SearchResponse response, String expected) throws IOException {
    assertEquals(response.body().at("/hits/total").toString(), json(expected).toString());
  }

  @Test
  public void breaksTiesByPartThenPosition() throws IOException {
    SearchResponse response =
        answered(
            100,
            part("{'value':2,'relation':'eq'}", "{'_id':'x','_score':2}", "{'_id':'y','_score':1}"),
            part("2", "{'_id':'z','_score':2.0}", "{'_id':'w','_score':1}"));
    assertEquals(response.body().at("/hits/hits").findValuesAsText("_id"), List.of("x", "z", "y"));
    assertTotal(response, "{'value':4,'relation':'eq'}");
  }

  @Test
  public void reportsTotalAsLowerBoundWhenNotExact() throws IOException {
    PartHits lowerBound = part("{'value':50,'relation':'gte'}");
    assertTotal(answered(100, lowerBound, part("1")), "{'value':51,'relation':'gte'}");
    assertTotal(answered(40, lowerBound, part("1")), "{'value':40,'relation':'gte'}");
  }

  @DataProvider
  public Object[][] incompleteAnswers() {
    return new Object[][] {
      {"{'timed_out':true,'hits':{'total':1,'hits':[]}}"},
      {"{'_shards':{'failed':1},'hits':{'total':1,'hits':[]}}"},
      {"{'terminated_early':true,'hits':{'total':1,'hits':[]}}"},
      {"{'hits':{'hits':[]}}"},
      {"{'hits':{'total':1,'hits':[{'_id':'a','_score':null}]}}"},
      {"{'hits':{'total':1}}"},
      {"{}"}
    };
  }

  @Test(dataProvider = "incompleteAnswers")
  public void rejectsIncompleteAnswer(String text) throws IOException {
    assertEquals(PartHits.read(json(text), true), Optional.empty());
  }

  @Test
  public void acceptsAnswerWithoutTotalThatWasNotRequested() throws IOException {
    assertTrue(PartHits.read(json("{'hits':{'hits':[]}}"), false).isPresent());
  }

  private static final Answer.MissingPart FAILED_PART =
      new Answer.MissingPart(Outcome.ERROR, "s3", new PartFailure(500, "boom", "it broke"));

  private static Answer.FinalState finalState(boolean timedOut, boolean mayHaveRun) {
    return new Answer.FinalState(timedOut, mayHaveRun, Map.of(1, FAILED_PART));
  }

  private static SearchResponse rejected(boolean timedOut, boolean mayHaveRun) {
    return SearchResponse.of(
        search(1), new Answer.Rejected(1200, finalState(timedOut, mayHaveRun)), 7);
  }

  private static SearchResponse failed(boolean timedOut, boolean mayHaveRun) {
    return SearchResponse.of(search(1), new Answer.Failed(finalState(timedOut, mayHaveRun)), 7);
  }

  @Test
  public void invitesRetryWhenNothingHasRun() {
    assertEquals(rejected(false, false).status(), 429);
    assertEquals(rejected(false, false).retryAfterSeconds(), 2);
  }

  @Test
  public void doesNotInviteRetryWhenRejectedSearchMayHaveRun() {
    assertEquals(rejected(false, true).status(), 500);
    assertEquals(rejected(true, true).status(), 504);
  }

  @Test
  public void doesNotInviteRetryOfFailedSearch() {
    assertEquals(failed(false, false).status(), 500);
    assertEquals(failed(true, true).status(), 504);
  }

  @Test
  public void reportsServerAndErrorTypeOfFailedPart() {
    JsonNode failure = failed(false, true).body().at("/error/failed_shards/0");
    assertEquals(failure.path("node").asText() + failure.at("/reason/type").asText(), "s3boom");
  }
}
