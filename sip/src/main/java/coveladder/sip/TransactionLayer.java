package coveladder.sip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * All transactions of one stack (RFC 3261 section 17), with merged requests (section 8.2.2.2) and
 * repeats of INVITEs whose transaction is long over.
 */
public final class TransactionLayer {
  /** A request larger than this leaves by TCP, octets (RFC 3261 section 18.1.1). */
  private static final int DATAGRAM_MOST = 1300;

  private final SipHost host;
  private final Timing timing;
  private final TransactionUser user;
  private final int most;
  private final Map<String, ClientTransaction> clients = new HashMap<>();
  private final Map<Hop, Set<ClientTransaction>> byConnection = new HashMap<>();
  private final Map<String, ServerTransaction> servers = new HashMap<>();
  private final Map<Hop, Set<ServerTransaction>> serversByConnection = new HashMap<>();
  private final Map<String, String> initial = new HashMap<>();
  private final Map<Long, Boolean> past;
  private final long salt;
  private long branches;
  private boolean overloadControl;
  private Supplier<OverloadControl> ownLoad = () -> null;
  private double arrival;

  /**
   * Makes the layer.
   *
   * @param most most server transactions at a time, and INVITEs remembered after their end; a
   *     request beyond that is answered 503 without a transaction
   */
  public TransactionLayer(SipHost host, Timing timing, int most, TransactionUser user) {
    this.host = host;
    this.timing = timing;
    this.most = most;
    this.user = user;
    this.past = new Remembered(most);
    this.salt = host.random().nextLong();
  }

  /** The latest keys of ended INVITEs; the oldest goes where there are too many. */
  private static final class Remembered extends LinkedHashMap<Long, Boolean> {
    private static final long serialVersionUID = 1L;
    private final int most;

    Remembered(int most) {
      this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
      return size() > most;
    }
  }

  /** Tells servers in each Via that overload control is understood (RFC 7339, RFC 7415). */
  public void offerOverloadControl() {
    overloadControl = true;
  }

  /** Tells clients that offer overload control what this server asks; null figures say nothing. */
  public void reportOverload(Supplier<OverloadControl> load) {
    ownLoad = load;
  }

  OverloadControl ownLoad() {
    return ownLoad.get();
  }

  SipHost host() {
    return host;
  }

  Timing timing() {
    return timing;
  }

  /** Transactions under way, clients and servers. */
  public int size() {
    return clients.size() + servers.size();
  }

  // ---- Client side --------------------------------------------------------------------------

  /**
   * Sends a request under a transaction of its own; a Via is put on top. One too large for a
   * datagram goes by TCP, and by UDP after all if no connection can be had.
   */
  public ClientTransaction send(SipRequest request, Hop hop, ClientTransaction.Listener listener) {
    ClientTransaction made = prepare(request, hop, listener);
    begin(made);
    return made;
  }

  /** Makes a transaction ready, with its Via, without sending anything yet. */
  ClientTransaction prepare(SipRequest request, Hop hop, ClientTransaction.Listener listener) {
    request.addFirst("Via", via(hop.transport(), nextBranch()).toString());
    ClientTransaction made = make(request, hop, listener);
    if (hop.transport() == Transport.UDP && made.wire().length > DATAGRAM_MOST) {
      made.enlarge();
    }
    return made;
  }

  /** Sends the request of a transaction that was made ready. */
  void begin(ClientTransaction made) {
    hold(made);
    made.start();
  }

  /** Sends a CANCEL, which bears the Via of the INVITE. */
  void sendCancel(SipRequest cancel, Hop hop, ClientTransaction.Listener listener) {
    begin(make(cancel, hop, listener));
  }

  /**
   * Calls off, after a restart, an INVITE that may have left with the Via that it bears.
   *
   * @param listener hears its end, and a 2xx that crosses
   */
  void callOff(SipRequest invite, Hop hop, ClientTransaction.Listener listener) {
    InviteClientTransaction made = new InviteClientTransaction(this, invite, hop, listener);
    hold(made);
    made.callOffRevived("SIP;cause=487");
  }

  /**
   * Takes an INVITE, after a restart, that came before it, so that its repeats find a transaction.
   */
  InviteServerTransaction revive(SipRequest invite, Hop source) {
    InviteServerTransaction made = new InviteServerTransaction(this, invite, source, host.now());
    made.keepQuiet();
    hold(serverKey(invite, "INVITE"), made);
    initial.put(mergeKey(invite), serverKey(invite, "INVITE"));
    return made;
  }

  /** Sends an ACK to a 2xx, which is no transaction. */
  public void sendAck(SipRequest ack, Hop hop) {
    ack.addFirst("Via", via(hop.transport(), nextBranch()).toString());
    host.send(hop, ack.toBytes());
  }

  private ClientTransaction make(SipRequest request, Hop hop, ClientTransaction.Listener listener) {
    return request.is("INVITE")
        ? new InviteClientTransaction(this, request, hop, listener)
        : new NonInviteClientTransaction(this, request, hop, listener);
  }

  private void hold(ClientTransaction made) {
    clients.put(made.key(), made);
    if (made.reliable()) {
      byConnection.computeIfAbsent(made.hop(), h -> new LinkedHashSet<>()).add(made);
    }
  }

  private void hold(String key, ServerTransaction made) {
    servers.put(key, made);
    if (made.source().transport().isReliable()) {
      serversByConnection.computeIfAbsent(made.source(), h -> new LinkedHashSet<>()).add(made);
    }
  }

  private Via via(Transport transport, String branch) {
    Hop local = host.localHop(transport);
    Params params = new Params().set("branch", branch).set("rport", "");
    if (overloadControl) {
      params.set("oc", "").set("oc-algo", "\"loss,rate\"");
    }
    return new Via(transport.name(), local.host(), local.port(), params);
  }

  private String nextBranch() {
    branches++;
    return Via.MAGIC_COOKIE
        + Long.toHexString(host.random().nextLong())
        + Long.toHexString(branches);
  }

  void over(ClientTransaction transaction) {
    clients.remove(transaction.key(), transaction);
    unlink(transaction);
    transaction.tellOver();
  }

  /** Forgets that a transaction hangs on a connection. */
  void unlink(ClientTransaction transaction) {
    unlink(byConnection, transaction.hop(), transaction);
  }

  private static <T> void unlink(Map<Hop, Set<T>> index, Hop hop, T transaction) {
    Set<T> sharing = index.get(hop);
    if (sharing != null && sharing.remove(transaction) && sharing.isEmpty()) {
      index.remove(hop);
    }
  }

  // ---- What comes in ------------------------------------------------------------------------

  /**
   * Takes a message that was read whole.
   *
   * @param arrived clock of its arrival at this machine, ms; it may have waited since
   */
  public void receive(Hop from, SipMessage message, double arrived) {
    arrival = arrived;
    if (message instanceof SipRequest request) {
      request(from, request);
    } else {
      response((SipResponse) message);
    }
  }

  private void response(SipResponse response) {
    Via via = response.via();
    Transport by = Transport.fromName(via.transport());
    if (by == null || !isOwn(via, host.localHop(by))) {
      return;
    }
    ClientTransaction client = clients.get(via.branch() + ' ' + response.cseq().method());
    if (client != null) {
      if (belongs(client.request(), response)) {
        client.receive(response);
      }
    } else if (response.isSuccess() && response.cseq().method().equals("INVITE")) {
      user.stray(response);
    }
  }

  private static boolean isOwn(Via via, Hop local) {
    return via.host().equals(local.host()) && via.portOrDefault() == local.port();
  }

  /** Guards against answers that bear another call's branch. */
  private static boolean belongs(SipRequest request, SipResponse response) {
    return request.callId().equals(response.callId())
        && request.cseq().number() == response.cseq().number()
        && String.valueOf(request.fromTag()).equals(response.fromTag());
  }

  private void request(Hop from, SipRequest request) {
    markSource(from, request);
    String key = serverKey(request, request.is("ACK") ? "INVITE" : request.method());
    ServerTransaction known = servers.get(key);
    if (request.is("ACK")) {
      boolean taken = known instanceof InviteServerTransaction invite && invite.acknowledged();
      if (!taken && !past.containsKey(digest(key))) {
        user.ack(request);
      }
    } else if (known != null) {
      known.repeated();
    } else if (!past.containsKey(digest(key))) {
      begin(key, from, request);
    }
  }

  /** Writes down where a request came from (RFC 3261 section 18.2.1, RFC 3581 section 4). */
  private static void markSource(Hop from, SipRequest request) {
    Via via = request.via();
    boolean asked = via.params().has("rport");
    if (asked || !via.host().equals(from.host())) {
      via.params().set("received", from.host());
      if (asked) {
        via.params().set("rport", Integer.toString(from.port()));
      }
      request.topVia(via);
    }
  }

  private void begin(String key, Hop from, SipRequest request) {
    if (servers.size() >= most) {
      refuseStateless(from, request);
      return;
    }
    String merge = request.toTag() == null ? mergeKey(request) : null;
    boolean merged = merge != null && initial.containsKey(merge) && !request.is("CANCEL");
    ServerTransaction made =
        request.is("INVITE")
            ? new InviteServerTransaction(this, request, from, arrival)
            : new NonInviteServerTransaction(this, request, from, arrival);
    hold(key, made);
    if (request.is("CANCEL")) {
      cancel(made, request);
    } else if (merged) {
      made.respond(request.response(482));
    } else {
      if (merge != null) {
        initial.put(merge, key);
      }
      user.request(made, request);
    }
  }

  private void cancel(ServerTransaction cancel, SipRequest request) {
    ServerTransaction invite = servers.get(serverKey(request, "INVITE"));
    cancel.respond(request.response(invite == null ? 481 : 200));
    if (invite != null && !invite.answered()) {
      user.cancelled(invite, request);
    }
  }

  private void refuseStateless(Hop from, SipRequest request) {
    SipResponse busy = request.response(503);
    busy.add("Retry-After", "1");
    Transport by = from.transport();
    host.send(by.isReliable() ? from : request.via().responseHop(by), busy.toBytes());
  }

  /** Answers a request that could not be read whole, without a transaction. */
  public void rejectMalformed(Hop from, SipRequest request, int status, String phrase) {
    Transport by = from.transport();
    Hop to = by.isReliable() ? from : request.via().responseHop(by);
    host.send(to, request.response(status, phrase).toBytes());
  }

  /** Key of a server transaction (RFC 3261 section 17.2.3), also without a unique branch. */
  private static String serverKey(SipRequest request, String method) {
    Via via = request.via();
    if (via.hasRfc3261Branch()) {
      return via.branch() + ' ' + via.host() + ':' + via.portOrDefault() + ' ' + method;
    }
    return request.uri()
        + ' '
        + request.fromTag()
        + ' '
        + request.callId()
        + ' '
        + request.cseq().number()
        + ' '
        + via.host()
        + ' '
        + method;
  }

  /** A key in eight octets, salted so that nobody can make two alike. */
  private long digest(String key) {
    long digest = salt;
    for (int i = 0; i < key.length(); i++) {
      digest = (digest ^ key.charAt(i)) * 0x9e3779b97f4a7c15L;
      digest ^= digest >>> 29;
    }
    return digest;
  }

  private static String mergeKey(SipRequest request) {
    return request.callId() + ' ' + request.fromTag() + ' ' + request.cseq();
  }

  void over(ServerTransaction transaction) {
    SipRequest request = transaction.request();
    String key = serverKey(request, request.method());
    servers.remove(key, transaction);
    unlink(serversByConnection, transaction.source(), transaction);
    if (request.toTag() == null) {
      initial.remove(mergeKey(request), key);
    }
    if (request.is("INVITE")) {
      past.put(digest(key), true);
    }
    transaction.tellOver();
  }

  // ---- Transport errors ---------------------------------------------------------------------

  /** A connection could not be made, or broke. Each transaction that hangs on it hears of it. */
  public void connectionFailed(Hop hop, Failure failure) {
    for (ClientTransaction client : snapshot(byConnection.get(hop))) {
      client.lost(failure);
    }
    for (ServerTransaction server : snapshot(serversByConnection.get(hop))) {
      server.lost();
    }
  }

  private static <T> List<T> snapshot(Set<T> held) {
    return held == null ? List.of() : new ArrayList<>(held);
  }
}
