package bitternpulley.platform;

import bitternpulley.broker.Payload;
import bitternpulley.broker.Request;
import bitternpulley.net.HttpServer;
import java.util.List;

/**
 * A client's query, as {@link QueryCodec} decoded it.
 *
 * @param id the request's id, given by its client
 * @param queryClass the position of its query class in the settings
 * @param timeLeft ms that its client will still wait
 * @param retry whether its client marked it as a retry
 * @param idempotencyKey its idempotency key; null outside the keyed classes
 * @param filter the query's text, which each part carries
 * @param parts its parts
 * @param exchange receives its answer
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
