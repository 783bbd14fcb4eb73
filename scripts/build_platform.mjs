// Installs what the lock file names, if that has not been done, and bundles the program for the platform.
import {execSync} from 'node:child_process';
import {existsSync, statSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
process.chdir(root);

const marker = 'node_modules/.package-lock.json';
const stale =
  !existsSync(marker) ||
  statSync(marker).mtimeMs < statSync('package-lock.json').mtimeMs;
if (stale) execSync('npm ci', {stdio: ['ignore', 2, 2]});

const {build} = await import('esbuild');
// Nodes speak HTTP/1.1; loading HTTP/2 takes a megabyte and start-up time.
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

const {metafile} = await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/goldcresthill-platform.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  plugins: [withoutHttp2],
  alias: {undici: './scripts/undici_clients.cjs'},
  metafile: true,
  logLevel: 'error',
  define: {'process.env.NODE_ENV': '"production"'},
});
if (process.env.BUNDLE_REPORT) {
  writeFileSync('target/bundle.json', JSON.stringify(metafile));
}
