package bitternpulley.platform;

import bitternpulley.broker.Payload;
import bitternpulley.broker.Request;
import bitternpulley.net.HttpServer;
import java.util.List;

/**
 * A client's query, as decoded by {@link QueryCodec}.
 *
 * @param id the request id, chosen by the client
 * @param queryClass the index of the query class in the settings
 * @param timeLeft how long the client will still wait, in ms
 * @param retry whether the client marked the request as a retry
 * @param idempotencyKey the idempotency key; null unless the query class requires one
 * @param filter the text of the query, which is sent with each part
 * @param parts the parts of the query
 * @param exchange receives the answer
 */
record PlatformQuery(
    String id,
    int queryClass,
    double timeLeft,
    boolean retry,
    String idempotencyKey,
    String filter,
    List<Request.QueryPart> parts,
    HttpServer.Exchange exchange)
    implements Payload {}
