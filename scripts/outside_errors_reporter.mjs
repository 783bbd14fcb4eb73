// Vitest reporter that writes the errors outside any test, such as a lost worker, which the JSON report leaves out.
import {writeFileSync} from 'node:fs';
import process from 'node:process';

export default class OutsideErrorsReporter {
  onTestRunEnd(_modules, unhandledErrors) {
    const messages = unhandledErrors.map(err => err.message ?? String(err));
    writeFileSync(process.env.OUTSIDE_ERRORS_FILE, JSON.stringify(messages));
  }
}
