// Installs the locked dependencies if they are out of date, and bundles the program for the platform.
import {spawnSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {installIfStale} from './install.mjs';

installIfStale();

const {build} = await import('esbuild');
// Nodes use HTTP/1.1; loading HTTP/2 costs a megabyte of memory and start-up time.
const withoutHttp2 = {
  name: 'without-http2',
  setup(builder) {
    builder.onResolve({filter: /client-h2/}, () => ({
      path: 'client-h2',
      namespace: 'empty',
    }));
    builder.onLoad({filter: /.*/, namespace: 'empty'}, () => ({
      contents: 'module.exports = undefined;',
    }));
  },
};

// Log lines have no colors; the library for them creates the stream of the terminal when it is loaded.
const withoutColors = {
  name: 'without-colors',
  setup(builder) {
    builder.onResolve({filter: /^@colors\/colors/}, () => ({
      path: 'colors',
      namespace: 'no-colors',
    }));
    builder.onLoad({filter: /.*/, namespace: 'no-colors'}, () => ({
      contents: 'module.exports = {};',
    }));
  },
};

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  logLevel: 'error',
  define: {'process.env.NODE_ENV': '"production"'},
};

await build({
  ...common,
  entryPoints: ['platform/src/launch.ts'],
  outfile: 'target/launch.cjs',
});
const {metafile} = await build({
  ...common,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/goldcresthill-platform.cjs',
  plugins: [withoutHttp2, withoutColors],
  alias: {
    undici: './scripts/undici_clients.cjs',
    winston: './scripts/winston_loggers.cjs',
    'hdr-histogram-js': './scripts/js_histograms.cjs',
  },
  metafile: true,
});
const {status} = spawnSync(
  process.execPath,
  ['target/launch.cjs', '--write-code-cache'],
  {stdio: 'inherit'},
);
if (status !== 0) throw new Error('the code cache could not be written');
if (process.env.BUNDLE_REPORT) {
  writeFileSync('target/bundle.json', JSON.stringify(metafile));
}
