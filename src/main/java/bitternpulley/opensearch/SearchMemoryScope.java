package bitternpulley.opensearch;

import bitternpulley.net.ClientMemoryBudget;
import java.util.ArrayList;
import java.util.List;

/** The memory of all searches of one HTTP request, which is released when it is answered. */
final class SearchMemoryScope {
  private final ClientMemoryBudget budget;
  private final List<SearchMemory> searches = new ArrayList<>();

  SearchMemoryScope(ClientMemoryBudget budget) {
    this.budget = budget;
  }

  /**
   * Reserves memory for a search.
   *
   * @param search the search
   * @param expectedPartBytes what the answer of one part is expected to occupy
   * @param onRelease rejects the search, because it occupies too much
   * @throws SearchException if there is not enough memory
   */
  SearchMemory open(Search search, long expectedPartBytes, Runnable onRelease) {
    int partCount = search.parts().size();
    // One copy of the body for the search, and one in the request for each part.
    long requestBytes = (1L + partCount) * search.body().length;
    SearchMemory memory =
        new SearchMemory(budget, requestBytes, partCount, expectedPartBytes, onRelease);
    if (!memory.reserve()) {
      throw SearchException.tooLarge(budget.maxBytes());
    }
    searches.add(memory);
    return memory;
  }

  /** Returns the bound on the memory of all searches, in bytes of heap. */
  long maxBytes() {
    return budget.maxBytes();
  }

  /** Releases the memory of all searches. */
  void close() {
    searches.forEach(SearchMemory::close);
  }
}
