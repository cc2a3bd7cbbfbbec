package bitternpulley.opensearch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.broker.Effect.Answer;
import bitternpulley.broker.Payload;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
        "{}".getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] bytes(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  private static PartHits part(String total, String... hits) {
    return PartHits.read(
            bytes(
                "{'timed_out':false,'_shards':{'failed':0},'hits':{'total':"
                    + total
                    + ",'hits':["
                    + String.join(",", hits)
                    + "]}}"),
            true)
        .orElseThrow();
  }

  private static JsonNode answered(long totalHitsLimit, PartHits first, PartHits second)
      throws IOException {
    Search search = search(totalHitsLimit);
    TopHits topHits = new TopHits(search.windowSize());
    topHits.add(1, second); // the order of arrival does not matter
    topHits.add(0, first);
    Map<Integer, Payload> values = Map.of(0, first.total(), 1, second.total());
    SearchResponse response =
        SearchResponse.of(search, topHits, new Answer.Answered(true, values, Map.of()), 7);
    return JSON.readTree(response.toHttp().body());
  }

  private static void assertTotal(JsonNode response, String expected) throws IOException {
    assertEquals(response.at("/hits/total").toString(), json(expected).toString());
  }

  @Test
  public void breaksTiesByPartThenPosition() throws IOException {
    JsonNode response =
        answered(
            100,
            part("{'value':2,'relation':'eq'}", "{'_id':'x','_score':2}", "{'_id':'y','_score':1}"),
            part("2", "{'_id':'z','_score':2.0}", "{'_id':'w','_score':1}"));
    assertEquals(response.at("/hits/hits").findValuesAsText("_id"), List.of("x", "z", "y"));
    assertTotal(response, "{'value':4,'relation':'eq'}");
  }

  /** Numbers with many digits, white space and characters outside of ASCII stay as they are. */
  @Test
  public void passesHitsOnAsTheServerSentThem() throws IOException {
    String hit =
        "{'_score': 1.5, '_source':{'n':12345678901234567890.123456789,'t':'\u062e\\u062e'}}";
    Search search = search(100);
    TopHits topHits = new TopHits(search.windowSize());
    topHits.add(0, part("1", hit));
    SearchResponse response =
        SearchResponse.of(
            search,
            topHits,
            new Answer.Answered(true, Map.of(0, new PartTotal(1, true)), Map.of()),
            7);
    String body = new String(response.toHttp().body(), StandardCharsets.UTF_8);
    assertTrue(body.contains(hit.replace('\'', '"')), body);
  }

  @Test
  public void keepsOnlyTheBestHits() {
    TopHits topHits = new TopHits(2);
    for (int part = 0; part < 50; part++) {
      topHits.add(
          part, part("1", "{'_id':'a" + part + "','_score':" + part + "}", "{'_score':0.5}"));
    }
    assertEquals(topHits.from(0).stream().map(RankedHit::score).toList(), List.of(49.0, 48.0));
    assertTrue(topHits.heapBytes() < 300, "bytes: " + topHits.heapBytes());
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
      {"{'hits':{'total':1,'hits':[{'_id':'a','_source':{'_score':1}}]}}"},
      {"{'hits':{'total':1,'hits':[{'_id':'a','_score':1,'_id':'b'}]}}"},
      {"{'hits':{'total':1,'hits':[{'_id':'a','_score':1}]}"},
      {"{'hits':{'total':1,'hits':[{'_id':'a','_score':1}]}}{}"},
      {"{}"}
    };
  }

  @Test(dataProvider = "incompleteAnswers")
  public void rejectsIncompleteAnswer(String text) {
    assertEquals(PartHits.read(bytes(text), true), Optional.empty());
  }

  @Test
  public void acceptsAnswerWithoutTotalThatWasNotRequested() {
    assertTrue(PartHits.read(bytes("{'hits':{'hits':[]}}"), false).isPresent());
  }

  private static final Answer.MissingPart FAILED_PART =
      new Answer.MissingPart(Outcome.ERROR, "s3", new PartFailure(500, "boom", "it broke"));

  private static Answer.FinalState finalState(boolean timedOut, boolean mayHaveRun) {
    return new Answer.FinalState(timedOut, mayHaveRun, Map.of(1, FAILED_PART));
  }

  private static SearchResponse rejected(boolean timedOut, boolean mayHaveRun) {
    return SearchResponse.of(
        search(1), new TopHits(3), new Answer.Rejected(1200, finalState(timedOut, mayHaveRun)), 7);
  }

  private static SearchResponse failed(boolean timedOut, boolean mayHaveRun) {
    return SearchResponse.of(
        search(1), new TopHits(3), new Answer.Failed(finalState(timedOut, mayHaveRun)), 7);
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
