// Runs all checks of the project; the last line counts the tests.
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync} from 'node:fs';
import console from 'node:console';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';

const KNOWN_RED = 'KNOWN-RED.txt';
/** Tests of the memory and the descriptors of processes, which run after the others, without load beside them. */
const SEPARATE_TESTS = 'packages/bench/src/processes/unfinished_input_test.ts';

/** Full names of the tests that are known to fail because of a real bug. */
function readKnownRed() {
  let text = '';
  try {
    text = readFileSync(KNOWN_RED, 'utf8');
  } catch {
    return [];
  }
  return text
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

function run(name, command, args) {
  const {status} = spawnSync(command, args, {stdio: 'inherit'});
  if (status !== 0) console.log(`${name} failed`);
  return status === 0;
}

function runAllTests() {
  const counts = [
    runTests(['--exclude', SEPARATE_TESTS]),
    runTests([SEPARATE_TESTS]),
  ];
  const sum = key => counts.reduce((total, count) => total + count[key], 0);
  return {
    passed: sum('passed'),
    failed: sum('failed'),
    skipped: sum('skipped'),
  };
}

function runTests(selection) {
  const dir = mkdtempSync(join(tmpdir(), 'tests-'));
  const report = join(dir, 'report.json');
  const errorsFile = join(dir, 'errors.json');
  const args = [
    'vitest',
    'run',
    '--reporter=default',
    '--reporter=json',
    '--reporter=./scripts/outside_errors_reporter.mjs',
    `--outputFile=${report}`,
    ...selection,
  ];
  const {status} = spawnSync('npx', args, {
    stdio: 'inherit',
    env: {...process.env, OUTSIDE_ERRORS_FILE: errorsFile},
  });
  try {
    const results = JSON.parse(readFileSync(report, 'utf8'));
    const outsideErrors = JSON.parse(readFileSync(errorsFile, 'utf8'));
    return judge(results, status, outsideErrors);
  } catch (err) {
    console.log(`no complete report of the tests: ${err}`);
    return {passed: 0, failed: 1, skipped: 0};
  }
}

function judge(results, status, outsideErrors) {
  const knownRed = readKnownRed();
  const tests = results.testResults.flatMap(file => file.assertionResults);
  const failed = tests.filter(test => test.status === 'failed');
  const known = failed.filter(test => knownRed.includes(test.fullName));
  known.forEach(test => console.log(`known red: ${test.fullName}`));
  outsideErrors.forEach(text => console.log(`error outside tests: ${text}`));
  const passed = tests.filter(test => test.status === 'passed').length;
  const brokenFiles = results.testResults.filter(
    file => file.status === 'failed' && file.assertionResults.length === 0,
  ).length;
  // A lost worker leaves tests without a result.
  const unfinished = tests.length - passed - failed.length;
  let unexpected =
    failed.length -
    known.length +
    brokenFiles +
    unfinished +
    outsideErrors.length;
  if (status !== 0 && failed.length === 0 && unexpected === 0) unexpected = 1;
  return {passed, failed: unexpected, skipped: known.length};
}

const checks = [
  run('typecheck', 'npx', ['tsc', '--noEmit']),
  run('lint', 'npx', ['eslint', 'packages', 'platform', 'scripts']),
];
const counts = runAllTests();
const failed = counts.failed + checks.filter(ok => !ok).length;
const skipped = counts.skipped > 0 ? `, ${counts.skipped} skipped` : '';
console.log(`${counts.passed} passed, ${failed} failed${skipped}`);
process.exit(failed === 0 && counts.passed > 0 ? 0 : 1);
