package bitternpulley.net;

/**
 * The memory budgets of a process for what is kept for its clients, whichever server they use.
 *
 * @param incoming bounds incomplete requests and requests sent ahead
 * @param inProgress bounds requests in progress, the answers to their parts, and responses until
 *     the kernel has taken them
 */
public record ClientMemory(ClientMemoryBudget incoming, ClientMemoryBudget inProgress) {
  /** Creates the budgets of a process. */
  public static ClientMemory create(EventLoop loop) {
    return new ClientMemory(
        ClientMemoryBudget.forIncomingRequests(loop),
        ClientMemoryBudget.forRequestsInProgress(loop));
  }
}
