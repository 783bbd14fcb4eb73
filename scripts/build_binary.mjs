// Builds a single executable from the bundle and the Node.js that runs this script.
import {execFileSync} from 'node:child_process';
import console from 'node:console';
import {chmodSync, copyFileSync, statSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BYTES_PER_MEGABYTE = 1_048_576;

process.chdir(join(dirname(fileURLToPath(import.meta.url)), '..'));

const config = {
  main: 'dist/goldcresthill.cjs',
  output: 'dist/goldcresthill.blob',
  disableExperimentalSEAWarning: true,
  useCodeCache: true,
};
writeFileSync('dist/sea.json', JSON.stringify(config));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, 'dist/goldcresthill');
chmodSync('dist/goldcresthill', 0o755);
execFileSync(
  'npx',
  [
    'postject',
    'dist/goldcresthill',
    'NODE_SEA_BLOB',
    'dist/goldcresthill.blob',
    '--sentinel-fuse',
    FUSE,
  ],
  {stdio: 'ignore'},
);
const megabytes = statSync('dist/goldcresthill').size / BYTES_PER_MEGABYTE;
console.log(`dist/goldcresthill, ${megabytes.toFixed(0)} MB`);
