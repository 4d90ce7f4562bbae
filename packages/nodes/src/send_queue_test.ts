import { expect } from "chai";
import { SendQueue } from "./send_queue.ts";
import { DEFAULT_PEER_SETTINGS } from "./settings.ts";

const SETTINGS = {
  ...DEFAULT_PEER_SETTINGS,
  frameBytes: 100,
  queueHighWatermarkBytes: 300,
  queueLowWatermarkBytes: 100,
  queueLimitBytes: 600,
};

function buildMessage(size: number, nowMs = 0): {
  bytes: Buffer;
  nowMs: number;
} {
  return { bytes: Buffer.alloc(size), nowMs };
}

describe("send queue", () => {
  it("splits the queued messages into bounded frames", () => {
    const queue = new SendQueue(SETTINGS);
    for (let count = 0; count < 5; count += 1) {
      queue.add("owner_answer", buildMessage(40));
    }
    expect(queue.takeFrame()).to.have.length(2);
    expect(queue.takeFrame()).to.have.length(2);
    expect(queue.takeFrame()).to.have.length(1);
    expect(queue.isEmpty()).to.equal(true);
  });

  it("drops replaceable kinds first, and reports congestion", () => {
    const queue = new SendQueue(SETTINGS);
    expect(queue.add("owner_answer", buildMessage(290))).to.equal("queued");
    expect(queue.add("heartbeat", buildMessage(40))).to.equal("dropped");
    expect(queue.add("owner_answer", buildMessage(40))).to.equal("congested");
    expect(queue.add("owner_answer", buildMessage(400))).to.equal("dropped");
  });

  it("reports only once that it has drained", () => {
    const queue = new SendQueue(SETTINGS);
    queue.add("owner_answer", buildMessage(90));
    queue.add("owner_answer", buildMessage(290));
    expect(queue.takeDrained()).to.equal(false);
    queue.takeFrame();
    queue.takeFrame();
    expect(queue.takeDrained()).to.equal(true);
    expect(queue.takeDrained()).to.equal(false);
  });

  it("drops expired messages, oldest first", () => {
    const queue = new SendQueue(SETTINGS);
    queue.add("owner_answer", buildMessage(10, 0));
    queue.add("owner_answer", buildMessage(20, 4_000));
    expect(queue.removeExpired(5_500)).to.equal(1);
    expect(queue.takeFrame()[0]?.length).to.equal(20);
  });
});
