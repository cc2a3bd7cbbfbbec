package bitternpulley.process;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Platform queries of clients that follow the protocol, each of which needs a final answer. */
final class SoundQueries {
  private static final int QUERIES = 12;
  private static final int QUERY_INTERVAL_MS = 250;

  /** A request has to get its final answer at the latest half a second after its time. */
  private static final int QUERY_TIMEOUT_MS = 3000;

  private static final int FINAL_ANSWER_MS = QUERY_TIMEOUT_MS + 500;

  private SoundQueries() {}

  /** The status of a final answer and the time until it was read, in ms. */
  record Answer(int status, long elapsedMs) {}

  /** Sends queries one after the other and returns the statuses of their final answers. */
  static List<Integer> statuses(Deployment deployment) throws Exception {
    return answers(deployment).stream().map(Answer::status).toList();
  }

  /** Returns the time of the slowest answer in ms. */
  static long slowestMs(List<Answer> answers) {
    return answers.stream().mapToLong(Answer::elapsedMs).max().orElseThrow();
  }

  /** Sends queries one after the other and returns their final answers. */
  static List<Answer> answers(Deployment deployment) throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(QUERIES);
    List<Future<Answer>> answers = new ArrayList<>();
    for (int number = 0; number < QUERIES; number++) {
      String id = "sound" + number;
      int shard = 2 + number % (Deployment.CELLS - 2);
      answers.add(executor.submit(() -> answerWithinTime(deployment, id, shard)));
      TimeUnit.MILLISECONDS.sleep(QUERY_INTERVAL_MS);
    }
    executor.shutdown();
    List<Answer> finalAnswers = new ArrayList<>();
    for (Future<Answer> answer : answers) {
      finalAnswers.add(answer.get());
    }
    return finalAnswers;
  }

  private static Answer answerWithinTime(Deployment deployment, String id, int shard)
      throws IOException {
    long startedAt = System.nanoTime();
    try (Socket socket = TestClient.connect(deployment.listenAddress)) {
      socket.setSoTimeout(FINAL_ANSWER_MS);
      TestClient.send(
          socket, TestClient.queryRequest("slot-search", id, QUERY_TIMEOUT_MS / 1000.0, shard));
      int status = TestClient.readReply(socket).status();
      return new Answer(status, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
    }
  }
}
