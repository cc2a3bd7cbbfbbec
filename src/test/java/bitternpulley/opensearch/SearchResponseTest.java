package bitternpulley.opensearch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import bitternpulley.broker.Effect.Answer;
import bitternpulley.broker.Payload;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Merging, and the words for each kind of end, without any wire. */
public class SearchResponseTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private static JsonNode json(String text) throws IOException {
    return JSON.readTree(text.replace('\'', '"'));
  }

  private static Search search(long trackTotal) {
    return new Search(
        "s",
        List.of(new Search.Part("a", 0), new Search.Part("a", 1)),
        0,
        0,
        3,
        -1,
        true,
        trackTotal,
        null,
        JSON.createObjectNode(),
        answer -> {});
  }

  private static PartHits part(String total, String... hits) throws IOException {
    return PartHits.read(
        json(
            "{'timed_out':false,'_shards':{'failed':0},'hits':{'total':"
                + total
                + ",'hits':["
                + String.join(",", hits)
                + "]}}"),
        true);
  }

  private static SearchResponse answered(long trackTotal, Payload first, Payload second) {
    return SearchResponse.of(
        search(trackTotal), new Answer.Answered(true, Map.of(0, first, 1, second), Map.of()), 7);
  }

  private static void assertTotal(SearchResponse r, String expected) throws IOException {
    assertEquals(r.body().at("/hits/total").toString(), json(expected).toString());
  }

  @Test
  public void tiesGoByPartAndPlace() throws IOException {
    SearchResponse r =
        answered(
            100,
            part("{'value':2,'relation':'eq'}", "{'_id':'x','_score':2}", "{'_id':'y','_score':1}"),
            part("2", "{'_id':'z','_score':2.0}", "{'_id':'w','_score':1}"));
    assertEquals(r.body().at("/hits/hits").findValuesAsText("_id"), List.of("x", "z", "y"));
    assertTotal(r, "{'value':4,'relation':'eq'}");
  }

  @Test
  public void aTotalThatIsNotExactSaysSo() throws IOException {
    PartHits gte = part("{'value':50,'relation':'gte'}");
    assertTotal(answered(100, gte, part("1")), "{'value':51,'relation':'gte'}");
    assertTotal(answered(40, gte, part("1")), "{'value':40,'relation':'gte'}");
  }

  @DataProvider
  public Object[][] notWhole() {
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

  @Test(dataProvider = "notWhole")
  public void lessThanTheWholePartIsNoAnswer(String text) throws IOException {
    assertNull(PartHits.read(json(text), true));
  }

  @Test
  public void aTotalThatWasNotAskedForMayBeMissing() throws IOException {
    assertNotNull(PartHits.read(json("{'hits':{'hits':[]}}"), false));
  }

  private static SearchResponse ended(boolean refused, boolean late, boolean mayHaveRun) {
    Answer.Ending ending =
        new Answer.Ending(
            late,
            mayHaveRun,
            Map.of(
                1,
                new Answer.MissingPart(
                    Outcome.ERROR, "s3", new PartHits.Failure(500, "boom", "it broke"))));
    return SearchResponse.of(
        search(1), refused ? new Answer.Rejected(1200, ending) : new Answer.Failed(ending), 7);
  }

  /** Guards against telling a client that another try is safe when its work may have run. */
  @Test
  public void onlyWhatNeverRanIsRefused() {
    assertEquals(ended(true, false, false).status(), 429);
    assertEquals(ended(true, false, false).retryAfter(), 2);
    assertEquals(ended(true, false, true).status(), 500);
    assertEquals(ended(true, true, true).status(), 504);
    assertEquals(ended(false, false, false).status(), 500);
    assertEquals(ended(false, true, true).status(), 504);
    JsonNode failure = ended(false, false, true).body().at("/error/failed_shards/0");
    assertEquals(failure.path("node").asText() + failure.at("/reason/type").asText(), "s3boom");
  }
}
