// Writes record.txt: one line for each thing sent, answered or run, with the time since the start.
import {createWriteStream} from 'node:fs';

export class Recorder {
  constructor(file) {
    this.startedAt = performance.now();
    this.stream = createWriteStream(file);
  }

  /** Milliseconds since the start of the script. */
  now() {
    return performance.now() - this.startedAt;
  }

  write(event, fields = {}) {
    const words = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
    const time = (this.now() / 1_000).toFixed(3).padStart(8);
    this.stream.write(`${time} ${event} ${words.join(' ')}\n`);
  }

  /** Writes a line to the record and to standard output. */
  say(text) {
    this.write('#', {note: JSON.stringify(text)});
    console.log(text);
  }

  close() {
    return new Promise(done => this.stream.end(done));
  }
}
