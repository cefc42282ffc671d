package coveladder.bench;

import coveladder.sip.SipMessage;
import coveladder.sip.SipParseException;
import coveladder.sip.SipParser;
import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.parser.StringMsgParser;
import java.nio.charset.StandardCharsets;
import java.text.ParseException;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Compares parsing and writing of an INVITE with JAIN SIP in the same run. */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ParseBench {
  private static final byte[] INVITE =
      ("INVITE sip:5551234@x1.example SIP/2.0\r\n"
              + "Via: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK87asdks7;rport\r\n"
              + "Via: SIP/2.0/UDP 127.0.0.2:5060;branch=z9hG4bKfa77ab;received=127.0.0.2\r\n"
              + "Max-Forwards: 69\r\nRoute: <sip:127.0.0.1:5080;lr>\r\n"
              + "From: \"A member\" <sip:member@127.0.0.2>;tag=9fxced76sl\r\n"
              + "To: <sip:5551234@x1.example>\r\nCall-ID: 3848276298220188511@127.0.0.2\r\n"
              + "CSeq: 1 INVITE\r\nContact: <sip:member@127.0.0.2:5060;transport=udp>\r\n"
              + "Expires: 3\r\nResource-Priority: cove.2\r\nSupported: 100rel, timer\r\n"
              + "Allow: INVITE, ACK, BYE, CANCEL, OPTIONS, PRACK, UPDATE, INFO\r\n"
              + "Session-ID: ab30317f1a784dc48ff824d0d3715d86;remote=0\r\n"
              + "Content-Type: application/sdp\r\nContent-Length: 12\r\n\r\nv=0\r\no=- 0 0")
          .getBytes(StandardCharsets.ISO_8859_1);

  private final SipParser parser = new SipParser(128);
  private final StringMsgParser jainParser = new StringMsgParser();

  /** Parses with this project's parser and reads the fields that identify its transaction. */
  @Benchmark
  public int parseOurs() throws SipParseException {
    SipMessage message = parser.parse(INVITE);
    return message.via().branch().length() + message.callId().length();
  }

  /** Parses with JAIN SIP and reads the same fields. */
  @Benchmark
  public int parseJain() throws ParseException {
    SIPMessage message = jainParser.parseSIPMessage(INVITE, true, false, null);
    return message.getTopmostVia().getBranch().length() + message.getCallId().getCallId().length();
  }

  /** Parses and writes with this project's code. */
  @Benchmark
  public int parseAndWriteOurs() throws SipParseException {
    return parser.parse(INVITE).toBytes().length;
  }

  /** Parses and writes with JAIN SIP. */
  @Benchmark
  public int parseAndWriteJain() throws ParseException {
    return jainParser.parseSIPMessage(INVITE, true, false, null).encodeAsBytes("udp").length;
  }
}
