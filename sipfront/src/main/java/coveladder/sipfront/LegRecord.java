package coveladder.sipfront;

import coveladder.sip.Dialog;
import coveladder.sip.Hop;
import coveladder.sip.SipMessage;
import coveladder.sip.SipParseException;
import coveladder.sip.SipParser;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import coveladder.sip.Transport;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A leg as octets: where it goes, its INVITE and the answer to it as they were on the wire, and
 * what has changed in the dialog since.
 *
 * @param hop the other side
 * @param callId Call-ID
 * @param tag own tag
 * @param remoteTag the other side's tag; empty before there is one
 * @param acknowledged whether the answer's ACK has passed
 * @param progress what has changed in the dialog; null before there is one
 * @param session time that the session lasts without a refresh, s; 0: for ever (RFC 4028)
 * @param invite the INVITE
 * @param answer the final answer; empty before there is one
 */
record LegRecord(
    Hop hop,
    String callId,
    String tag,
    String remoteTag,
    boolean acknowledged,
    Dialog.Progress progress,
    long session,
    byte[] invite,
    byte[] answer) {
  private static final int HEADERS = 1_000;
  private static final byte[] NONE = {};

  byte[] write() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(invite.length + answer.length + 128);
    try (DataOutputStream data = new DataOutputStream(out)) {
      data.writeUTF(hop.transport().name());
      data.writeUTF(hop.host());
      data.writeInt(hop.port());
      data.writeUTF(callId);
      data.writeUTF(tag);
      data.writeUTF(remoteTag);
      data.writeBoolean(acknowledged);
      data.writeBoolean(progress != null);
      if (progress != null) {
        data.writeLong(progress.localSequence());
        data.writeLong(progress.remoteSequence());
        data.writeUTF(progress.remoteTarget());
      }
      data.writeLong(session);
      data.writeInt(invite.length);
      data.write(invite);
      data.writeInt(answer.length);
      data.write(answer);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  static LegRecord read(byte[] octets) {
    return read(octets, true);
  }

  /** Reads all but the messages, which are the most of it. */
  static LegRecord readHead(byte[] octets) {
    return read(octets, false);
  }

  private static LegRecord read(byte[] octets, boolean whole) {
    try (DataInputStream data = new DataInputStream(new ByteArrayInputStream(octets))) {
      Hop hop = new Hop(Transport.fromName(data.readUTF()), data.readUTF(), data.readInt());
      String callId = data.readUTF();
      String tag = data.readUTF();
      String remoteTag = data.readUTF();
      boolean acknowledged = data.readBoolean();
      Dialog.Progress progress =
          data.readBoolean()
              ? new Dialog.Progress(data.readLong(), data.readLong(), data.readUTF())
              : null;
      long session = data.readLong();
      byte[] invite = whole ? data.readNBytes(data.readInt()) : NONE;
      byte[] answer = whole ? data.readNBytes(data.readInt()) : NONE;
      return new LegRecord(
          hop, callId, tag, remoteTag, acknowledged, progress, session, invite, answer);
    } catch (IOException e) {
      throw new IllegalArgumentException("a kept leg is cut short", e);
    }
  }

  LegRecord with(boolean nowAcknowledged, Dialog.Progress now, long lasts) {
    return new LegRecord(hop, callId, tag, remoteTag, nowAcknowledged, now, lasts, invite, answer);
  }

  /** Key of its dialog. */
  String dialogKey() {
    return Dialog.key(callId, tag, remoteTag);
  }

  SipRequest request() {
    return (SipRequest) parse(invite);
  }

  SipResponse response() {
    return (SipResponse) parse(answer);
  }

  private static SipMessage parse(byte[] octets) {
    try {
      return new SipParser(HEADERS).parse(octets);
    } catch (SipParseException e) {
      throw new IllegalArgumentException("a kept message is no message: " + e.getMessage(), e);
    }
  }
}
