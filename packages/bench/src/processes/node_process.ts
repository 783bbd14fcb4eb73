/** The program of the platform as a real process of one VM. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {
  createWriteStream,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import type {WriteStream} from 'node:fs';
import {constants} from 'node:os';
import {join} from 'node:path';
import type {DeployFile, TemplateFields} from './deploy_file';
import {renderTemplate} from './deploy_file';

/** Options of NodeProcess. */
export interface NodeProcessOptions {
  readonly name: string;
  readonly deploy: DeployFile;
  /** Values for the settings template. */
  readonly fields: TemplateFields;
  /** Folder for the settings file and the logs. */
  readonly folder: string;
  /** Called at each start of the process. */
  readonly onStart?: () => void;
  readonly onExit?: (exit: ProcessExit) => void;
  /** Delay after which a process that has ended is started again, milliseconds; without it, it stays down. */
  readonly restartDelayMs?: number;
}

/** End of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Whether it ended without a signal that ends a process. */
  readonly isOwnEnd: boolean;
  /** Whether SIGHUP ended it just after its start and before its own code could handle signals, which a process cannot prevent. */
  readonly isBeforeOwnCode: boolean;
  /** What it wrote to standard error last. */
  readonly errors: string;
}

/** Environment variable with the path of the settings file. */
const SETTINGS_FILE_VARIABLE = 'GOLDCRESTHILL_NODE_FILE';
const MAX_ERROR_CHARACTERS = 4_000;
/** Longest time from a start until the code of the program handles signals, milliseconds. */
const MAX_BOOT_MS = 1_000;
/** Signals that a process handles without ending. */
const HARMLESS_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  'SIGHUP',
  'SIGSTOP',
  'SIGCONT',
]);

/** Starts the process, sends it signals and tells whether it ended by itself. */
export class NodeProcess {
  private child: ChildProcess | undefined;
  private log: WriteStream | undefined;
  private restartTimer: NodeJS.Timeout | undefined;
  private closed = false;
  /** Whether the current process has been sent a signal that ends it. */
  private wasEnded = false;
  private starts = 0;

  constructor(private readonly options: NodeProcessOptions) {}

  /** Writes the settings file and starts the process. */
  start(): void {
    const {deploy, name, folder} = this.options;
    this.writeSettings();
    const [program = '', ...args] = deploy.command;
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: deploy.root,
      env: {PATH, HOME, LANG, [SETTINGS_FILE_VARIABLE]: this.settingsFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.options.onStart?.();
    this.wasEnded = false;
    const startedAt = performance.now();
    const log = createWriteStream(join(folder, `${name}.${++this.starts}.log`));
    this.log = log;
    child.stdout.pipe(log);
    let errors = '';
    let hasWritten = false;
    child.stdout.once('data', () => (hasWritten = true));
    child.stderr.on('data', chunk => {
      errors = (errors + String(chunk)).slice(-MAX_ERROR_CHARACTERS);
    });
    child.on('close', (code, signal) => {
      const isBooting = performance.now() - startedAt < MAX_BOOT_MS;
      const isBeforeOwnCode = signal === 'SIGHUP' && isBooting && !hasWritten;
      this.onClose({
        code,
        signal,
        isOwnEnd: !this.wasEnded,
        isBeforeOwnCode,
        errors,
      });
    });
  }

  /** Writes the settings file anew; `text` replaces the rendered template. */
  writeSettings(text = this.settingsText): void {
    // A reader sees the old or the new file, as on the platform.
    const draft = `${this.settingsFile}.new`;
    writeFileSync(draft, text);
    renameSync(draft, this.settingsFile);
  }

  get settingsText(): string {
    const {deploy, fields} = this.options;
    return renderTemplate(deploy.settingsTemplate, fields);
  }

  get settingsFile(): string {
    const {folder, name} = this.options;
    return join(folder, `${name}.ini`);
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Whether the process handles a signal, rather than leave it to the default action. */
  catches(signal: NodeJS.Signals): boolean {
    const {pid} = this;
    if (pid === undefined) return false;
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const mask = BigInt(`0x${/^SigCgt:\s*(\w+)$/m.exec(status)?.[1] ?? 0}`);
    return ((mask >> BigInt(constants.signals[signal] - 1)) & 1n) === 1n;
  }

  /** Sends a signal to the process, if it runs. */
  signal(signal: NodeJS.Signals): void {
    if (!HARMLESS_SIGNALS.has(signal)) this.wasEnded = true;
    this.child?.kill(signal);
  }

  /** Ends the process at once and for good. */
  async close(): Promise<void> {
    this.closed = true;
    clearTimeout(this.restartTimer);
    const {child} = this;
    if (child === undefined) return;
    const ended = new Promise(done => child.once('close', done));
    this.signal('SIGKILL');
    await ended;
  }

  private onClose(exit: ProcessExit): void {
    const {onExit, restartDelayMs} = this.options;
    this.child = undefined;
    this.log?.end();
    onExit?.(exit);
    if (this.closed || restartDelayMs === undefined) return;
    this.restartTimer = setTimeout(() => this.start(), restartDelayMs);
  }
}
