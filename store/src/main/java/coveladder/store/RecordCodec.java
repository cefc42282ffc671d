package coveladder.store;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import coveladder.CallPolicy.Call;
import coveladder.core.recovery.SavedCall;
import coveladder.store.proto.SavedCallRecord;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Records as octets: a CRC-32C of four octets, then the protobuf message. */
final class RecordCodec {
  /** The version that this program writes, and the newest that it reads. */
  static final int VERSION = 1;

  private static final int CHECK = 4;

  private RecordCodec() {}

  /** A record that cannot be used; the message says why. */
  static final class BadRecord extends Exception {
    private static final long serialVersionUID = 1L;

    BadRecord(String reason) {
      super(reason);
    }
  }

  static byte[] write(SavedCall saved) {
    Call call = saved.call();
    byte[] body =
        SavedCallRecord.newBuilder()
            .setVersion(VERSION)
            .setId(call.id())
            .setPhase(SavedCallRecord.Phase.valueOf(saved.phase().name()))
            .setType(call.type())
            .setPatience(call.patience())
            .setWidth(call.width())
            .setNumber(call.number())
            .setDestination(call.destination())
            .setTransit(call.transit())
            .setRedial(call.redial())
            .setReturned(call.returned())
            .setAttempt(saved.attempt())
            .setExchange(saved.exchange())
            .setCallerLeg(ByteString.copyFrom(saved.callerLeg()))
            .setAttemptLeg(ByteString.copyFrom(saved.attemptLeg()))
            .setAnswer(ByteString.copyFrom(saved.answer()))
            .setDeadline(saved.deadline())
            .build()
            .toByteArray();
    return ByteBuffer.allocate(CHECK + body.length).putInt(check(body, 0)).put(body).array();
  }

  private static int check(byte[] octets, int from) {
    CRC32C check = new CRC32C();
    check.update(octets, from, octets.length - from);
    return (int) check.getValue();
  }

  static SavedCall read(byte[] octets) throws BadRecord {
    if (octets.length < CHECK || ByteBuffer.wrap(octets).getInt() != check(octets, CHECK)) {
      throw new BadRecord("its check does not fit: " + octets.length + " octets");
    }
    try {
      int length = octets.length - CHECK;
      return read(SavedCallRecord.parser().parseFrom(octets, CHECK, length));
    } catch (InvalidProtocolBufferException e) {
      throw new BadRecord("it is no record: " + e.getMessage());
    }
  }

  private static SavedCall read(SavedCallRecord record) throws BadRecord {
    if (record.getVersion() > VERSION) {
      throw new BadRecord(
          "it is of version " + record.getVersion() + ", this program reads up to " + VERSION);
    }
    SavedCall.Phase phase =
        switch (record.getPhase()) {
          case SETTING_UP -> SavedCall.Phase.SETTING_UP;
          case STANDS -> SavedCall.Phase.STANDS;
          case ANSWERED -> SavedCall.Phase.ANSWERED;
          default -> throw new BadRecord("its phase is unknown");
        };
    Call call =
        new Call(
            record.getId(),
            record.getType(),
            record.getPatience(),
            record.getWidth(),
            record.getNumber(),
            record.getDestination(),
            record.getTransit(),
            record.getRedial(),
            record.getReturned());
    return new SavedCall(
        call,
        phase,
        record.getAttempt(),
        record.getExchange(),
        record.getCallerLeg().toByteArray(),
        record.getAttemptLeg().toByteArray(),
        record.getAnswer().toByteArray(),
        record.getDeadline());
  }
}
